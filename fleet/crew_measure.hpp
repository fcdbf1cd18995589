// How soon a crew finds who has gone, how often it is wrong and what that costs in bytes, in simulated time and with
// real processes.
#pragma once

#include <string>
#include <vector>

#include "fleet/crew_stage.hpp"
#include "petrelpond/time.hpp"

namespace petrelpond::fleet {

struct CrewFigures {
    int members = 0;
    double loss = 0;            // of datagrams, each way
    double together = 0;        // seconds from the common start until all know all
    std::vector<double> doubted, dead, known;  // seconds from each kill: somebody doubts, holds dead, all do
    long falseDeaths = 0;       // members that ran and were held dead, each viewer counted
    double memberHours = 0;     // observed, with nobody killed
    double bytesASecond = 0;    // sent by each member, mean, at rest
    double bytesMost = 0;       // by the busiest
    long steps = 0;
    double falseAnHour() const { return memberHours > 0 ? static_cast<double>(falseDeaths) / memberHours : 0; }
};

struct CrewMeasure {
    int members = 5, kills = 5;
    double loss = 0;
    Span quiet = Span::seconds(120);  // watched for false accusations
    uint64_t seed = 1;
};

CrewFigures measureCrew(const CrewMeasure& measure);  // in simulated time
// The same with processes of the program; bytes are not counted.
CrewFigures measureCrewPlay(const CrewMeasure& measure, const Command& sender, const std::string& folder);

double medianOf(std::vector<double> values);
double mostOf(const std::vector<double>& values);
std::string crewTable(const std::vector<CrewFigures>& all);  // Markdown
std::string crewPage(const std::vector<CrewFigures>& all);   // HTML with plots

}  // namespace petrelpond::fleet
