// Formats the message of StorageError, which contains the system's text for an errno value.

#include "base/Errors.h"

#include <system_error>

namespace camphorcleat {

std::string StorageError::message() const
{
  return operation + " of " + file + " failed: " + std::generic_category().message(systemError);
}

} // namespace camphorcleat
