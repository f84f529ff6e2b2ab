// The native dialect: metadata in Camphorcleat- headers, health checks by polling, and grants sent
// by POST.

#ifndef CAMPHORCLEAT_DAEMON_NATIVEDIALECT_H_
#define CAMPHORCLEAT_DAEMON_NATIVEDIALECT_H_

#include "daemon/Dialect.h"

namespace camphorcleat::daemon {

/// Thread-safe.
class NativeDialect : public Dialect
{
public:
  CallerMetadata parseCallerMetadata(const transport::CallerStream& aStream) const override;
  CallerResponse failure(const CallerFailure& aFailure) const override;
  std::vector<wire::Header> targetHeaders(const TargetCall& aCall) const override;
  TargetResponseKind classifyResponse(const wire::RequestHead& aHead, unsigned aStatus,
                                      const std::vector<wire::Header>& aHeaders) const override;
  bool namesRequest(const wire::RequestHead& aHead,
                    const std::vector<wire::Header>& aHeaders) const override;
  bool needsConfiguration() const override { return false; }
  bool hasHeartbeats() const override { return false; }
};

/// Thread-safe.
class NativeDialectFactory : public DialectFactory
{
public:
  std::unique_ptr<Dialect> makeDialect() const override;
  std::unique_ptr<DialectServer> makeServer(const Settings& aSettings,
                                            DaemonApi& aApi) const override;
};

/// Returns the HTTP status that reports a failure, in all dialects. Thread-safe.
unsigned statusOf(const CallerFailure& aFailure);

} // namespace camphorcleat::daemon

#endif // CAMPHORCLEAT_DAEMON_NATIVEDIALECT_H_
