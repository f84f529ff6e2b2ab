// Parses INI files and assigns line numbers to their keys.

#include "base/IniFile.h"

#include <cerrno>
#include <fstream>
#include <sstream>

#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>

namespace camphorcleat {

namespace {

constexpr std::size_t kMaxFileBytes = 1U << 20U;

// Maps (section, key) to its line number. The text must be valid for PropertyTree's parser.
std::map<std::pair<std::string, std::string>, unsigned> indexLines(const std::string& aText)
{
  std::map<std::pair<std::string, std::string>, unsigned> lineNumbers;
  std::istringstream in(aText);
  std::string line;
  std::string section;
  for (unsigned n = 1; std::getline(in, line); ++n) {
    boost::trim(line);
    if (line.empty() || line[0] == ';' || line[0] == '#') {
      continue;
    }
    if (line[0] == '[') {
      section = boost::trim_copy(line.substr(1, line.find(']') - 1));
      continue;
    }
    lineNumbers[{ section, boost::trim_copy(line.substr(0, line.find('='))) }] = n;
  }
  return lineNumbers;
}

// Replaces '#' comments by empty lines, which keep the line numbers. PropertyTree's INI parser
// supports only ';' comments, but '#' is common too.
std::string removeHashComments(const std::string& aText)
{
  std::istringstream in(aText);
  std::string out;
  std::string line;
  while (std::getline(in, line)) {
    const std::string trimmed = boost::trim_copy(line);
    out += (!trimmed.empty() && trimmed[0] == '#') ? "" : line;
    out += '\n';
  }
  return out;
}

} // namespace

std::string SettingsFault::message() const
{
  return file + ":" + std::to_string(line) + ": [" + section + "] " + key + ": " + reason;
}

std::string SettingsError::message() const
{
  std::string out;
  for (const auto& it : faults) {
    out += (out.empty() ? "" : "\n") + it.message();
  }
  return out;
}

Result<IniFile> IniFile::parse(const std::string& aName, const std::string& aText)
{
  IniFile file;
  file.mName = aName;
  boost::property_tree::ptree tree;
  std::istringstream in(removeHashComments(aText));
  try {
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& ec) {
    return fail(SettingsError{
      { SettingsFault{ aName, static_cast<unsigned>(ec.line()), "", "", ec.message() } } });
  }
  const auto lineNumbers = indexLines(aText);
  for (const auto& [section, keys] : tree) {
    for (const auto& [key, value] : keys) {
      const auto it = lineNumbers.find({ section, key });
      file.mItems[{ section, key }] =
        Item{ value.data(), it == lineNumbers.end() ? 0 : it->second, false };
    }
  }
  return file;
}

Result<IniFile> IniFile::load(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    return fail(StorageError{ aPath, "opening", errno });
  }
  std::string text(kMaxFileBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  if (text.size() > kMaxFileBytes) {
    return fail(
      SettingsError{ { SettingsFault{ aPath, 0, "", "", "file is larger than 1 MiB" } } });
  }
  return parse(aPath, text);
}

std::optional<std::string> IniFile::value(const std::string& aSection, const std::string& aKey)
{
  const auto it = mItems.find({ aSection, aKey });
  if (it == mItems.end()) {
    return std::nullopt;
  }
  it->second.isKnown = true;
  return it->second.text;
}

unsigned IniFile::line(const std::string& aSection, const std::string& aKey) const
{
  const auto it = mItems.find({ aSection, aKey });
  return it == mItems.end() ? 0 : it->second.line;
}

SettingsFault IniFile::fault(const std::string& aSection, const std::string& aKey,
                             std::string aReason) const
{
  return SettingsFault{ mName, line(aSection, aKey), aSection, aKey, std::move(aReason) };
}

std::vector<SettingsFault> IniFile::unknownKeys() const
{
  std::vector<SettingsFault> out;
  for (const auto& [name, item] : mItems) {
    if (!item.isKnown) {
      out.push_back(fault(name.first, name.second, "unknown key"));
    }
  }
  return out;
}

} // namespace camphorcleat
