// Takes the usable candidate that reports the least load. A baseline for comparisons: reports lag,
// so all entry daemons choose the same target until the next report.

#ifndef CAMPHORCLEAT_TRAFFIC_LEASTREPORTEDLOADCHOOSER_H_
#define CAMPHORCLEAT_TRAFFIC_LEASTREPORTEDLOADCHOOSER_H_

#include "traffic/TargetChooser.h"

namespace camphorcleat::traffic {

class LeastReportedLoadChooser : public TargetChooser
{
public:
  using TargetChooser::choose;
  std::optional<std::size_t> choose(const std::vector<Candidate>& aCandidates,
                                    Duration aAcceptable) override;
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_LEASTREPORTEDLOADCHOOSER_H_
