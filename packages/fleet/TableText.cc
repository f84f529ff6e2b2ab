// Formats JSON results as aligned text.

#include <algorithm>
#include <map>
#include <vector>

#include <QJsonArray>
#include <QJsonDocument>

#include "fleet/QueryResult.h"

namespace camphorcleat::fleet {

namespace {

using Row = std::vector<std::string>;

std::string cellText(const QJsonValue& aValue);

std::string listText(const QJsonArray& aValues)
{
  std::string out;
  for (const auto& it : aValues) {
    out += (out.empty() ? "" : " ") + cellText(it);
  }
  return out;
}

std::string fieldsText(const QJsonObject& aValue)
{
  std::string out;
  for (auto it = aValue.begin(); it != aValue.end(); ++it) {
    out += (out.empty() ? "" : " ") + it.key().toStdString() + "=" + cellText(it.value());
  }
  return out;
}

std::string cellText(const QJsonValue& aValue)
{
  if (aValue.isArray()) {
    return listText(aValue.toArray());
  }
  if (aValue.isObject()) {
    return fieldsText(aValue.toObject());
  }
  if (aValue.isBool()) {
    return aValue.toBool() ? "yes" : "no";
  }
  return aValue.toVariant().toString().toStdString();
}

std::string alignColumns(const std::vector<Row>& aLines)
{
  std::vector<std::size_t> widths(aLines.front().size(), 0);
  for (const auto& line : aLines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string out;
  for (const auto& line : aLines) {
    std::string row;
    for (std::size_t i = 0; i < line.size(); ++i) {
      row += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
    }
    row.erase(row.find_last_not_of(' ') + 1);
    out += row + "\n";
  }
  return out;
}

// The columns that identify a row come first, the others in alphabetical order.
std::vector<QString> columnsOf(const QJsonArray& aRows)
{
  static const std::vector<QString> sFirst = { "id",     "name",     "service",
                                               "key",    "revision", "at_unix_ms",
                                               "issuer", "kind",     "object" };
  std::map<QString, bool> present;
  for (const auto& row : aRows) {
    for (const QString& key : row.toObject().keys()) {
      present[key] = true;
    }
  }
  std::vector<QString> out;
  for (const auto& it : sFirst) {
    if (present.erase(it) != 0) {
      out.push_back(it);
    }
  }
  for (const auto& [key, unused] : present) {
    out.push_back(key);
  }
  return out;
}

std::string renderRows(const QJsonArray& aRows)
{
  if (aRows.isEmpty()) {
    return "none\n";
  }
  const std::vector<QString> columns = columnsOf(aRows);
  std::vector<Row> lines(1);
  for (const auto& column : columns) {
    lines[0].push_back(column.toUpper().toStdString());
  }
  for (const auto& row : aRows) {
    Row line;
    for (const auto& column : columns) {
      line.push_back(cellText(row.toObject().value(column)));
    }
    lines.push_back(std::move(line));
  }
  return alignColumns(lines);
}

std::string renderOwners(const QJsonObject& aServices)
{
  std::vector<Row> lines = { { "SERVICE", "NODE", "PARTITIONS" } };
  for (auto it = aServices.begin(); it != aServices.end(); ++it) {
    std::map<qint64, std::size_t> counts;
    const QJsonObject owners = it.value().toObject();
    for (const auto& owner : owners) {
      counts[owner.toInteger()] += 1;
    }
    for (const auto& [node, count] : counts) {
      lines.push_back({ it.key().toStdString(), node == 0 ? "none" : std::to_string(node),
                        std::to_string(count) });
    }
  }
  return alignColumns(lines);
}

bool isTable(const QJsonValue& aValue)
{
  return aValue.isArray() && (aValue.toArray().isEmpty() || aValue.toArray().first().isObject());
}

} // namespace

std::string renderTable(const QJsonObject& aResult)
{
  std::string out;
  std::vector<Row> scalars;
  for (auto it = aResult.begin(); it != aResult.end(); ++it) {
    if (it.key() == "services" && it.value().isObject()) {
      out += renderOwners(it.value().toObject());
    } else if (isTable(it.value())) {
      out += renderRows(it.value().toArray());
    } else {
      scalars.push_back({ it.key().toStdString(), cellText(it.value()) });
    }
  }
  return scalars.empty() ? out : alignColumns(scalars) + out;
}

} // namespace camphorcleat::fleet
