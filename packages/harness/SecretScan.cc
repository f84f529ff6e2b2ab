// Searches file chunks that overlap by the length of the longest secret, so that occurrences across
// a chunk boundary are found.

#include "harness/SecretScan.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace camphorcleat::harness {

namespace {

constexpr std::size_t kChunkBytes = 1U << 20U;

// Counts the occurrences that end after the first aOverlap bytes. The others were counted with the
// previous chunk.
std::uint64_t countOccurrences(const std::string& aText, std::size_t aOverlap,
                               const std::string& aSecret)
{
  std::uint64_t out = 0;
  for (auto at = aText.find(aSecret); at != std::string::npos; at = aText.find(aSecret, at + 1)) {
    out += at + aSecret.size() > aOverlap ? 1 : 0;
  }
  return out;
}

std::uint64_t countInFile(const std::filesystem::path& aFile,
                          const std::vector<std::string>& aSecrets)
{
  std::size_t maxOverlap = 0;
  for (const auto& it : aSecrets) {
    maxOverlap = std::max(maxOverlap, it.size());
  }
  std::ifstream in(aFile, std::ios::binary);
  std::string text;
  std::string chunk(kChunkBytes, '\0');
  std::uint64_t out = 0;
  while (in) {
    in.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    const std::size_t overlap = text.size();
    text.append(chunk, 0, static_cast<std::size_t>(in.gcount()));
    for (const auto& it : aSecrets) {
      out += it.empty() ? 0 : countOccurrences(text, overlap, it);
    }
    text.erase(0, text.size() - std::min(text.size(), maxOverlap));
  }
  return out;
}

} // namespace

std::uint64_t countSecrets(const std::string& aFolder, const std::vector<std::string>& aSecrets)
{
  namespace fs = std::filesystem;
  std::uint64_t out = 0;
  std::error_code ec;
  for (fs::recursive_directory_iterator it(aFolder, ec), end; !ec && it != end; it.increment(ec)) {
    std::error_code typeError;
    if (it->is_regular_file(typeError)) {
      out += countInFile(it->path(), aSecrets);
    }
  }
  return out;
}

} // namespace camphorcleat::harness
