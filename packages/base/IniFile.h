// Reads an INI file and keeps the line of every key, so that each fault can be located.
//
// Boost.PropertyTree parses the values. It does not tell the lines of keys, so a second pass over
// the text indexes them.

#ifndef CAMPHORCLEAT_BASE_INIFILE_H_
#define CAMPHORCLEAT_BASE_INIFILE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/Errors.h"

namespace camphorcleat {

/// One fault of a settings file.
struct SettingsFault
{
  std::string file;
  unsigned line = 0; ///< 0 if the key is missing from the file.
  std::string section;
  std::string key;
  std::string reason;
  /// "file:line: [section] key: reason".
  std::string message() const;
};

/// All faults of a settings file.
struct SettingsError
{
  static constexpr ErrorCode kCode = ErrorCode::SettingsInvalid;
  std::vector<SettingsFault> faults;
  std::string message() const;
};

/// The text of an INI file as sections of keys. Not thread-safe.
class IniFile
{
public:
  /// Parses a text. Fails with SettingsError that holds the faulty line.
  static Result<IniFile> parse(const std::string& aName, const std::string& aText);

  /// Reads and parses a file of at most 1 MiB. Fails with SettingsError or StorageError.
  static Result<IniFile> load(const std::string& aPath);

  /// The text of a key, if the file has it. Marks the key as known.
  std::optional<std::string> value(const std::string& aSection, const std::string& aKey);

  /// The line of a key, or 0.
  unsigned line(const std::string& aSection, const std::string& aKey) const;

  /// A fault located at a key of this file.
  SettingsFault fault(const std::string& aSection, const std::string& aKey,
                      std::string aReason) const;

  /// One fault for each key that was never asked for.
  std::vector<SettingsFault> unknownKeys() const;

private:
  struct Item
  {
    std::string text;
    unsigned line = 0;
    bool isKnown = false;
  };
  std::string mName;
  std::map<std::pair<std::string, std::string>, Item> mItems;
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_INIFILE_H_
