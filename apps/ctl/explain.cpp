#include "apps/ctl/explain.h"

#include "base/number.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>
#include <string_view>

namespace marigold::ctl {
namespace {

using namespace std::chrono_literals;

constexpr const char* kEnd = "request";
/** Events of the VM so long before a request still explain its decisions. */
constexpr base::Duration kLeadTime = 1s;

/** Ends of messages that tell the state of what stands before them. */
constexpr std::array<std::string_view, 3> kEnds{ " reached",
                                                 " lost",
                                                 " granted" };
/** Messages that replace the earlier ones of the same name. */
constexpr std::array<std::string_view, 5> kSubjects{ "start",
                                                     "drain",
                                                     "order owner",
                                                     "settings reloaded",
                                                     "configuration in force" };

/** Last news by subject, such as "upstream i-1" or "configuration". */
using News = std::map<std::string, const LogLine*>;

bool
isLease(const LogLine& aLine)
{
  return !aLine.field("lease").empty();
}

/** @return the request that a line is about, or "" */
const std::string&
requestOf(const LogLine& aLine)
{
  return aLine.field(isLease(aLine) ? "" : "id");
}

/** @return what a line of a VM brings news of, or "" */
std::string
subjectOf(const LogLine& aLine)
{
  if (!requestOf(aLine).empty()) {
    return "";
  }
  if (!aLine.field("upstream").empty()) {
    return (aLine.message == "order" ? "order " : "upstream ") +
           aLine.field("upstream");
  }
  for (const std::string_view end : kEnds) {
    if (aLine.message.ends_with(end)) {
      return aLine.message.substr(0, aLine.message.size() - end.size()) + " " +
             aLine.field("lease");
    }
  }
  const bool isSubject =
    std::find(kSubjects.begin(), kSubjects.end(), aLine.message) !=
    kSubjects.end();
  return isSubject ? aLine.message : "";
}

std::int64_t
numberOf(const LogLine& aLine, const char* aField)
{
  return base::parseNumber<std::int64_t>(aLine.field(aField)).value_or(0);
}

std::string
formatLine(const LogLine& aLine)
{
  std::string text = aLine.clock + "  " + aLine.vm + "  ";
  text += aLine.level == "INFO" ? "" : aLine.level + " ";
  text += aLine.message;
  for (const auto& [name, value] : aLine.fields) {
    if (!value.empty()) {
      text += "  " + name + "=" + value;
    }
  }
  return text;
}

std::string
formatAge(base::Duration aAge)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << base::inSeconds(aAge) << " s";
  return text.str();
}

/** The lines of one request on one VM. */
struct Visit
{
  std::vector<const LogLine*> steps;
  base::Duration arrived{};
  base::Duration ended{};
  std::set<std::string> upstreams;
};

Visit
findVisit(const Logs& aLogs, const std::string& aId, const std::string& aVm)
{
  Visit visit;
  for (const LogLine& line : aLogs.lines) {
    if (line.vm != aVm || requestOf(line) != aId) {
      continue;
    }
    const base::Duration taken =
      line.message == kEnd
        ? std::chrono::milliseconds(numberOf(line, "taken_ms"))
        : 0ms;
    const base::Duration begun = line.time - taken;
    visit.arrived =
      visit.steps.empty() ? begun : std::min(visit.arrived, begun);
    visit.ended = line.time;
    visit.steps.push_back(&line);
    if (!line.field("upstream").empty()) {
      visit.upstreams.insert(line.field("upstream"));
    }
  }
  return visit;
}

/** @return what a VM had last heard at a time; orders count whoever sent them
 */
News
newsAt(const Logs& aLogs, const std::string& aVm, base::Duration aTime)
{
  News news;
  for (const LogLine& line : aLogs.lines) {
    if (line.time > aTime) {
      break;
    }
    if (line.vm != aVm && line.message != "order") {
      continue;
    }
    if (line.message == "start") {
      // Orders of other VMs remain; the new process knows nothing else.
      std::erase_if(
        news, [&aVm](const auto& aItem) { return aItem.second->vm == aVm; });
    }
    const std::string subject = subjectOf(line);
    if (!subject.empty()) {
      news[subject] = &line;
    }
  }
  return news;
}

bool
concerns(const LogLine& aLine, const std::set<std::string>& aUpstreams)
{
  const std::string& upstream = aLine.field("upstream");
  return upstream.empty() || aUpstreams.contains(upstream);
}

void
writeBeliefs(std::ostream& aOut, const News& aNews, base::Duration aAt)
{
  bool any = false;
  for (const auto& [subject, line] : aNews) {
    if (line->field("upstream").empty()) {
      aOut << "    " << formatAge(aAt - line->time)
           << " old: " << formatLine(*line) << "\n";
      any = true;
    }
  }
  if (!any) {
    aOut << "    nothing in these files\n";
  }
}

void
writeStep(std::ostream& aOut, const Logs& aLogs, const LogLine& aStep)
{
  aOut << "    " << formatLine(aStep) << "\n";
  const std::string& upstream = aStep.field("upstream");
  if (upstream.empty()) {
    return;
  }
  const News news = newsAt(aLogs, aStep.vm, aStep.time);
  for (const char* kind : { "upstream ", "order " }) {
    const auto found = news.find(kind + upstream);
    if (found != news.end()) {
      aOut << "        " << formatAge(aStep.time - found->second->time)
           << " before: " << formatLine(*found->second) << "\n";
    }
  }
  if (!news.contains("upstream " + upstream)) {
    aOut << "        no line of this VM tells of " << upstream << " before\n";
  }
}

void
writeMeanwhile(std::ostream& aOut,
               const Logs& aLogs,
               const std::string& aVm,
               const Visit& aVisit)
{
  for (const LogLine& line : aLogs.lines) {
    const bool near =
      line.time >= aVisit.arrived - kLeadTime && line.time <= aVisit.ended;
    if (near && line.vm == aVm && requestOf(line).empty() &&
        concerns(line, aVisit.upstreams)) {
      aOut << "    " << formatLine(line) << "\n";
    }
  }
}

void
writeVisit(std::ostream& aOut,
           const Logs& aLogs,
           const std::string& aVm,
           const Visit& aVisit)
{
  aOut << "on " << aVm << ", " << formatAge(aVisit.ended - aVisit.arrived)
       << " in all\n"
       << "  what the VM knew when the request arrived:\n";
  writeBeliefs(aOut, newsAt(aLogs, aVm, aVisit.arrived), aVisit.arrived);
  aOut << "  the request:\n";
  for (const LogLine* step : aVisit.steps) {
    writeStep(aOut, aLogs, *step);
  }
  if (aVisit.steps.back()->message != kEnd) {
    aOut << "    no line tells of its end\n";
  }
  aOut << "  on this VM meanwhile, from " << formatAge(kLeadTime)
       << " before:\n";
  writeMeanwhile(aOut, aLogs, aVm, aVisit);
}

std::string
formatEnd(const LogLine& aLine)
{
  std::ostringstream text;
  constexpr int kTakenWidth = 6;
  text << std::setw(kTakenWidth) << aLine.field("taken_ms") << " ms  "
       << aLine.clock << "  " << aLine.vm << "  " << aLine.field("id") << "  "
       << aLine.field("outcome") << " " << aLine.field("status") << "  "
       << aLine.field("route");
  for (const char* name : { "team", "model", "upstream", "detail" }) {
    if (!aLine.field(name).empty()) {
      text << "  " << name << "=" << aLine.field(name);
    }
  }
  return text.str();
}

bool
isFailed(const LogLine& aLine)
{
  constexpr std::int64_t kFirstErrorStatus = 400;
  return aLine.field("outcome") != "ok" ||
         numberOf(aLine, "status") >= kFirstErrorStatus;
}

bool
matches(const LogLine& aLine, const RequestFilter& aFilter)
{
  return aLine.message == kEnd && !requestOf(aLine).empty() &&
         (!aFilter.refused || isFailed(aLine)) &&
         (!aFilter.team || aLine.field("team") == *aFilter.team);
}

} // namespace

base::Result<std::string>
explainRequest(const Logs& aLogs, const std::string& aId)
{
  std::vector<std::string> vms; // in order of their first line
  std::uint64_t leftOut = 0;
  for (const LogLine& line : aLogs.lines) {
    if (line.message == "log lines left out") {
      leftOut += base::parseNumber(line.field("count")).value_or(0);
    }
    if (requestOf(line) == aId &&
        std::find(vms.begin(), vms.end(), line.vm) == vms.end()) {
      vms.push_back(line.vm);
    }
  }
  if (aId.empty() || vms.empty()) {
    return base::fail(base::Code::NotFound,
                      "no line names the request \"" + aId + "\"; " +
                        std::to_string(aLogs.lines.size()) + " lines read, " +
                        std::to_string(aLogs.skipped) + " skipped, " +
                        std::to_string(leftOut) + " left out by the VMs");
  }
  std::ostringstream text;
  text << "request " << aId << "\n";
  for (const std::string& vm : vms) {
    writeVisit(text, aLogs, vm, findVisit(aLogs, aId, vm));
  }
  return text.str();
}

std::string
listRequests(const Logs& aLogs, const RequestFilter& aFilter)
{
  std::vector<const LogLine*> ends;
  for (const LogLine& line : aLogs.lines) {
    if (matches(line, aFilter)) {
      ends.push_back(&line);
    }
  }
  if (aFilter.slowest) {
    std::stable_sort(ends.begin(),
                     ends.end(),
                     [](const LogLine* aLeft, const LogLine* aRight) {
                       return numberOf(*aLeft, "taken_ms") >
                              numberOf(*aRight, "taken_ms");
                     });
    ends.resize(std::min(ends.size(), *aFilter.slowest));
  }
  std::string text;
  for (const LogLine* end : ends) {
    text += formatEnd(*end) + "\n";
  }
  return text;
}

} // namespace marigold::ctl
