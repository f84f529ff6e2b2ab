// A search over file pieces that overlap by the length of the longest secret.

#include "harness/SecretScan.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace camphorcleat::harness {

namespace {

constexpr std::size_t kPieceBytes = 1U << 20U;

// Occurrences that end after the first aSeen bytes; the others were counted with the last piece.
std::uint64_t countIn(const std::string& aText, std::size_t aSeen, const std::string& aSecret)
{
  std::uint64_t out = 0;
  for (auto at = aText.find(aSecret); at != std::string::npos; at = aText.find(aSecret, at + 1)) {
    out += at + aSecret.size() > aSeen ? 1 : 0;
  }
  return out;
}

std::uint64_t countInFile(const std::filesystem::path& aFile,
                          const std::vector<std::string>& aSecrets)
{
  std::size_t overlap = 0;
  for (const auto& it : aSecrets) {
    overlap = std::max(overlap, it.size());
  }
  std::ifstream in(aFile, std::ios::binary);
  std::string text;
  std::string piece(kPieceBytes, '\0');
  std::uint64_t out = 0;
  while (in) {
    in.read(piece.data(), static_cast<std::streamsize>(piece.size()));
    const std::size_t seen = text.size();
    text.append(piece, 0, static_cast<std::size_t>(in.gcount()));
    for (const auto& it : aSecrets) {
      out += it.empty() ? 0 : countIn(text, seen, it);
    }
    text.erase(0, text.size() - std::min(text.size(), overlap));
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
