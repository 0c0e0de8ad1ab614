#include "apps/gateway/upstream_notes.h"

#include "apps/gateway/exchange.h"

namespace marigold::gateway {

void
recordNotice(RequestContext& aContext,
             Upstream& aUpstream,
             const std::string& aId,
             const boundary::AnswerMetadata& aAnswer)
{
  const base::TimePoint now = base::monotonicNow();
  const catalog::UpstreamNotice& notice = aAnswer.notice;
  const base::UpstreamName& name = aUpstream.record.name;
  const auto change =
    aContext.notices.onAnswer(aUpstream.process().tag(), notice, now);
  if (change.limit) {
    aContext.log.logStep(aId,
                         "upstream limit",
                         name,
                         notice.requestsPerSecond
                           ? std::to_string(*notice.requestsPerSecond) +
                               " requests/s"
                           : "none",
                         now);
  }
  if (change.leaving) {
    aUpstream.record.draining = true; // Peers and the placement learn it too.
    aContext.log.logStep(aId, "upstream says it leaves", name, "", now);
  }
  if (aContext.brittle.onAnswer(aUpstream.record.service,
                                aUpstream.process().tag(),
                                notice.maxRejections,
                                now)) {
    aContext.log.logStep(aId,
                         "brittle upstreams",
                         name,
                         notice.maxRejections
                           ? std::to_string(*notice.maxRejections) +
                               " rejections/s"
                           : "none",
                         now);
  }
  if (notice.turnsAwayFor) {
    aContext.log.logStep(
      aId,
      "upstream wants no requests",
      name,
      std::to_string(base::inMilliseconds(*notice.turnsAwayFor)) + " ms",
      now);
  }
}

void
recordService(RequestContext& aContext,
              const LoadReservation* aReservation,
              dispatch::Service aService)
{
  if (aReservation != nullptr) {
    aContext.answers.onAnswer(aReservation->upstream()->process().tag(),
                              aService,
                              base::monotonicNow());
  }
}

std::map<base::UpstreamName, peers::AnswerCounts>
answersToReport(const RequestContext& aContext)
{
  const base::TimePoint now = base::monotonicNow();
  std::map<base::UpstreamName, peers::AnswerCounts> answers;
  std::set<catalog::ServiceName> failing;
  for (const auto& [name, upstream] : aContext.upstreams.all()) {
    answers[name] = aContext.answers.counts(upstream->process().tag(), now);
    if (answers[name].failed > 0 ||
        aContext.peers.peerLoad(name).answers.failed > 0) {
      failing.insert(upstream->record.service);
    }
  }
  std::erase_if(answers, [&](const auto& aItem) {
    return !failing.contains(
      aContext.upstreams.find(aItem.first)->record.service);
  });
  return answers;
}

std::set<base::UpstreamName>
impairedUpstreams(const RequestContext& aContext)
{
  const base::TimePoint now = base::monotonicNow();
  std::map<catalog::ServiceName,
           std::map<base::UpstreamName, peers::AnswerCounts>>
    answers;
  for (const auto& [name, upstream] : aContext.upstreams.all()) {
    peers::AnswerCounts counts =
      aContext.answers.counts(upstream->process().tag(), now);
    const peers::AnswerCounts others = aContext.peers.peerLoad(name).answers;
    counts.served += others.served;
    counts.failed += others.failed;
    answers[upstream->record.service][name] = counts;
  }
  std::set<base::UpstreamName> impaired;
  for (const auto& [service, counts] : answers) {
    impaired.merge(dispatch::impairedUpstreams(counts));
  }
  return impaired;
}

} // namespace marigold::gateway
