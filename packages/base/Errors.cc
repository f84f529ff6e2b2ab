// Messages of errors that need more than their fields.

#include "base/Errors.h"

#include <system_error>

namespace camphorcleat {

std::string StorageError::message() const
{
  return operation + " of " + file + " failed: " + std::generic_category().message(systemError);
}

} // namespace camphorcleat
