// Reads an INI file and records the line number of every key for error messages.
//
// Boost.PropertyTree parses the values. It does not provide line numbers, so a second pass over the
// text collects them.

#ifndef CAMPHORCLEAT_BASE_INIFILE_H_
#define CAMPHORCLEAT_BASE_INIFILE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/Errors.h"

namespace camphorcleat {

/// One invalid, unknown or missing setting.
struct SettingsFault
{
  std::string file;
  unsigned line = 0; ///< 0 if the file does not contain the key.
  std::string section;
  std::string key;
  std::string reason;
  /// Returns "file:line: [section] key: reason".
  std::string message() const;
};

/// A settings file has one or more faults. The message has one line for each.
struct SettingsError
{
  static constexpr ErrorCode kCode = ErrorCode::SettingsInvalid;
  std::vector<SettingsFault> faults;
  std::string message() const;
};

/// The sections, keys and values of an INI file. Not thread-safe.
class IniFile
{
public:
  /// Parses aText; aName is the file name in messages. Fails with a SettingsError that contains the
  /// line number of the first syntax error.
  static Result<IniFile> parse(const std::string& aName, const std::string& aText);

  /// Reads and parses a file of at most 1 MiB. Fails with SettingsError or StorageError.
  static Result<IniFile> load(const std::string& aPath);

  /// Returns the value of a key, or nullopt if the file does not contain it. Marks the key as
  /// known.
  std::optional<std::string> value(const std::string& aSection, const std::string& aKey);

  /// Returns the line number of a key, or 0 if the file does not contain it.
  unsigned line(const std::string& aSection, const std::string& aKey) const;

  /// Returns a fault with the line number of a key of this file.
  SettingsFault fault(const std::string& aSection, const std::string& aKey,
                      std::string aReason) const;

  /// Returns a fault for each key that was never passed to value().
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
