/** @file The manifest, in which operators declare data centres, teams, models
 * and services. */
#pragma once

#include "base/base.h"

#include <string>
#include <vector>

namespace marigold::config {

/** A team and its fleet-wide token limit. */
struct Team
{
  base::TeamName name;
  double rate = 0;  ///< tokens per second
  double burst = 0; ///< tokens
  int priority = 1; ///< 0 is the most urgent
  /** How long an isolated data centre accepts the team's keys without an
   * update. One hour and five minutes, so that requests are served throughout a
   * network partition of one hour. */
  base::Duration keyStaleness = std::chrono::seconds(3900);
};

/** An adapter, which is loaded in addition to its model. */
struct Adapter
{
  std::string name;
  int memoryMb = 0;
};

/** A model and the teams that may use it. */
struct Model
{
  base::ModelName name;
  std::string version;
  int memoryMb = 0;
  base::Duration deadline = std::chrono::seconds(30); ///< for the whole answer
  std::vector<Adapter> adapters;
  std::vector<base::TeamName> teams; ///< teams that may use it; empty: all
};

/** A route of a service that is not a model. */
struct Route
{
  std::string method;
  std::string pathPrefix;
  bool idempotent = true;
  bool open = false; ///< accepts requests without a key
  double cost = 1;   ///< tokens charged per request
  base::Duration deadline = std::chrono::seconds(10);
};

/** A service that is not a model engine. */
struct Service
{
  std::string name;
  std::vector<Route> routes;
  std::vector<base::TeamName> teams; ///< teams that may use it; empty: all
};

/** A data centre and the number of entry VMs that share its part of a team's
 * limit. */
struct DataCentreInfo
{
  base::DataCentre name;
  std::string region;
  int entrySlots = 2;
};

/** The content of a manifest file. */
struct Manifest
{
  std::vector<DataCentreInfo> dataCentres;
  std::vector<Team> teams;
  std::vector<Model> models;
  std::vector<Service> services;
};

/**
 * Parses and validates a manifest. An invalid manifest is rejected as a whole.
 * @param aText YAML text
 * @param aFile file name for error messages
 * @return the manifest, or ManifestInvalid with file, line, key and rule
 */
base::Result<Manifest>
parseManifest(const std::string& aText, const std::string& aFile);

/**
 * @param aBefore manifest that applies now
 * @param aAfter manifest to publish
 * @return one line per difference: changed and removed entries (~ and -), then
 * added entries (+), each sorted by path
 */
std::vector<std::string>
diffManifests(const Manifest& aBefore, const Manifest& aAfter);

/** @param aManifest manifest @param aName team @return the team or nullptr */
const Team*
findTeam(const Manifest& aManifest, const base::TeamName& aName);

/** @param aManifest manifest @param aName model @return the model or nullptr */
const Model*
findModel(const Manifest& aManifest, const base::ModelName& aName);

} // namespace marigold::config
