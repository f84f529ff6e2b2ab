// Encoding and decoding of the large message variants, instantiated once.
//
// The field codec consists of templates. Instantiating it for PeerMessage takes about 20 s of
// compilation time per source file.

#ifndef CAMPHORCLEAT_WIRE_WIRECODEC_H_
#define CAMPHORCLEAT_WIRE_WIRECODEC_H_

#include <string>
#include <vector>

#include "wire/PeerMessages.h"

namespace camphorcleat::wire {

/// Returns a peer message as compact CBOR. Thread-safe.
std::string encodePeerMessage(const PeerMessage& aMessage);

/// Decodes a peer message. The caller limits the size. Fails with DecodeError. Thread-safe.
Result<PeerMessage> decodePeerMessage(const std::string& aBytes);

/// Returns the names of the alternatives of PeerMessage in their order. Thread-safe.
std::vector<std::string> peerMessageNames();

/// Returns a command as CBOR. Thread-safe.
std::string encodeCommand(const Command& aCommand);

/// Decodes a command. Fails with DecodeError. Thread-safe.
Result<Command> decodeCommand(const std::string& aBytes);

/// Returns a command as the payload of a log entry: as compact CBOR, which is compressed if it is
/// large.
/// Thread-safe.
std::string encodePayload(const Command& aCommand);

/// Decodes the payload of a log entry, also one that an earlier version wrote with field names or
/// without compression.
/// Fails with DecodeError. Thread-safe.
Result<Command> decodePayload(const std::string& aPayload);

/// Returns the size of a log entry's payload without compression. Thread-safe.
std::size_t payloadBytes(const std::string& aPayload);

/// Returns a list of changes as CBOR. Thread-safe.
std::string encodeChanges(const std::vector<Change>& aChanges);

/// Decodes a list of changes. Fails with DecodeError. Thread-safe.
Result<std::vector<Change>> decodeChanges(const std::string& aBytes);

} // namespace camphorcleat::wire

#endif // CAMPHORCLEAT_WIRE_WIRECODEC_H_
