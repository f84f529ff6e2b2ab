// Settings and counters of a proxied link.

#ifndef CAMPHORCLEAT_HARNESS_PROXYTYPES_H_
#define CAMPHORCLEAT_HARNESS_PROXYTYPES_H_

#include <cstdint>
#include <optional>

#include "base/Codec.h"

namespace camphorcleat::harness {

/// The directions whose bytes are dropped. The client is the side that opened the connection.
enum class CutMode
{
  None,
  ToServer,
  ToClient,
  Both
};

enum class ProxyDirection
{
  ToServer,
  ToClient
};

/// Faults that a link injects into its connections.
struct LinkSettings
{
  Millis delay{ 0 };
  Millis jitter{ 0 }; ///< Upper bound of a uniform random delay, which is added. Keeps the order.
  CutMode cut = CutMode::None;
  bool refusesConnections = false; ///< Whether new connections are refused.
  /// Number of forwarded bytes after which a connection is closed, counted in closeDirection.
  std::optional<std::uint64_t> closeAfterBytes;
  ProxyDirection closeDirection = ProxyDirection::ToServer;

  /// Returns whether the bytes of a direction are dropped.
  bool isCut(ProxyDirection aDirection) const
  {
    return cut == CutMode::Both ||
           cut == (aDirection == ProxyDirection::ToServer ? CutMode::ToServer : CutMode::ToClient);
  }
};

struct LinkStats
{
  std::uint64_t connections = 0; ///< Currently open.
  std::uint64_t accepted = 0;
  std::uint64_t toServerBytes = 0;
  std::uint64_t toClientBytes = 0;
  std::uint64_t droppedBytes = 0;

  static constexpr auto fields()
  {
    return std::make_tuple(field("connections", &LinkStats::connections),
                           field("accepted", &LinkStats::accepted),
                           field("to_server_bytes", &LinkStats::toServerBytes),
                           field("to_client_bytes", &LinkStats::toClientBytes),
                           field("dropped_bytes", &LinkStats::droppedBytes));
  }
};

} // namespace camphorcleat::harness

namespace camphorcleat {

template<>
struct EnumNames<harness::CutMode>
{
  using Mode = harness::CutMode;
  static constexpr EnumName<Mode> kTable[] = {
    { Mode::None, "none" },
    { Mode::ToServer, "to_server" },
    { Mode::ToClient, "to_client" },
    { Mode::Both, "both" },
  };
};

template<>
struct EnumNames<harness::ProxyDirection>
{
  using Direction = harness::ProxyDirection;
  static constexpr EnumName<Direction> kTable[] = {
    { Direction::ToServer, "to_server" },
    { Direction::ToClient, "to_client" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_HARNESS_PROXYTYPES_H_
