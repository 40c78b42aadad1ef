#pragma once

#include <cxxopts.hpp>

#include "load/figures.h"

/// What several commands of ferryrock-load read alike.
namespace ferryrock::load {

/// Adds --records, --journals, --decisions and --faults.
void declareEvidenceOptions(cxxopts::Options& options);
/// Reads what the options name. Throws Error for a missing option, and for what can't be read.
RunEvidence readEvidence(const cxxopts::ParseResult& arguments);

}  // namespace ferryrock::load
