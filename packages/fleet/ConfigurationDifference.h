// The difference between two configurations, so that a new version is sent without what it has in
// common with the one before.

#ifndef CAMPHORCLEAT_FLEET_CONFIGURATIONDIFFERENCE_H_
#define CAMPHORCLEAT_FLEET_CONFIGURATIONDIFFERENCE_H_

#include "wire/FleetMessages.h"

namespace camphorcleat::fleet {

/// Sorts accounts by name and routes by host and prefix, so that equal configurations have equal
/// encodings, however they were reached. Thread-safe.
wire::Configuration inCanonicalOrder(wire::Configuration aConfiguration);

/// Returns the change from one configuration to the next. Names of accounts, and host and prefix of
/// routes, must be unique in each. Thread-safe.
wire::ConfigurationChanged differenceOf(const wire::Configuration& aFrom,
                                        const wire::Configuration& aNext);

/// Returns the configuration after a change, in canonical order. aChange must be the difference
/// from aFrom to another configuration. Thread-safe.
wire::Configuration applyDifference(const wire::Configuration& aFrom,
                                    const wire::ConfigurationChanged& aChange);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_CONFIGURATIONDIFFERENCE_H_
