// Searches the files written by daemons and targets for account keys.

#ifndef CAMPHORCLEAT_HARNESS_SECRETSCAN_H_
#define CAMPHORCLEAT_HARNESS_SECRETSCAN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace camphorcleat::harness {

/// Returns the number of occurrences of any of the secrets in the regular files below a folder; 0
/// if the folder doesn't exist. Files are read in chunks of 1 MiB, so memory use doesn't depend on
/// their size. Empty secrets are ignored. Thread-safe.
std::uint64_t countSecrets(const std::string& aFolder, const std::vector<std::string>& aSecrets);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SECRETSCAN_H_
