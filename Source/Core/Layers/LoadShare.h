#pragma once

#include "Core/Common/Ids.h"

#include <cstddef>
#include <map>

namespace rattancart {

/// The number of engines of the data centre Home that may load layers at the same time, of the
/// Limit that all data centres have together.
///
/// Demand gives, for each data centre, the engines that load layers or are empty. Each data centre
/// gets an even part. What some do not need goes to the others, one load at a time in the order of
/// their ids. All decide by the same rule, so together they stay within the limit while they know
/// the same demand. The demand of others is known up to some seconds late. Therefore one load is
/// left for each of them in any case, and Home uses half of what it gets beyond its even part: if
/// all data centres need loads at once and none knows it, three of them exceed a limit of six by
/// half.
///
/// At least the even part, and at least 1. Thread-safe.
std::size_t loadsAtOnce(std::size_t Limit, std::size_t DataCenters, const DataCenterId &Home,
                        const std::map<DataCenterId, std::size_t> &Demand);

} // namespace rattancart
