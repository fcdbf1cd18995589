#include "fleet/report.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <sstream>

namespace petrelpond::fleet {

namespace {

constexpr const char* kColours[] = {"#2f6fab", "#c2571a", "#3d8b40", "#8a4fa3", "#a3272f", "#5f6b76"};

std::string safe(const std::string& text) {
    std::string out;
    for (char c : text)
        out += c == '<'   ? "&lt;"
               : c == '>' ? "&gt;"
               : c == '&' ? "&amp;"
               : c == '"' ? "&quot;"
                          : std::string(1, c);
    return out;
}

}  // namespace

std::string shown(double v) {
    std::ostringstream out;
    if (std::abs(v) >= 100 || v == std::floor(v))
        out << std::fixed << std::setprecision(0) << v;
    else
        out << std::setprecision(3) << v;
    return out.str();
}

// Values by second, a grid of round numbers, names at the lower edge.
std::string plot(const std::string& title, const std::string& unit, const std::vector<Curve>& curves,
                 const std::vector<std::string>& names, const std::string& along) {
    constexpr double W = 560, H = 230, L = 52, R = 12, T = 30, B = 46;
    double most = 0;
    size_t n = 2;
    for (const Curve& c : curves) {
        for (double v : c.values) most = std::max(most, v);
        n = std::max(n, c.values.size());
    }
    if (most <= 0) most = 1;
    double step = std::pow(10, std::floor(std::log10(most)));
    if (most / step < 2)
        step /= 5;
    else if (most / step < 5)
        step /= 2;
    most = std::ceil(most / step) * step;
    auto x = [&](double i) { return L + (W - L - R) * i / static_cast<double>(n - 1); };
    auto y = [&](double v) { return T + (H - T - B) * (1 - v / most); };
    std::ostringstream svg;
    svg << std::fixed << std::setprecision(1);
    svg << "<svg viewBox='0 0 " << W << ' ' << H << "' role='img'><title>" << safe(title)
        << "</title><text class='t' x='" << L << "' y='16'>" << safe(title) << "</text>";
    for (double v = 0; v <= most + step / 2; v += step) {
        svg << "<line class='g' x1='" << L << "' x2='" << W - R << "' y1='" << y(v) << "' y2='" << y(v)
            << "'/><text class='a' x='" << L - 6 << "' y='" << y(v) + 4 << "' text-anchor='end'>" << shown(v)
            << "</text>";
    }
    size_t every = std::max<size_t>(1, (n - 1 + 7) / 8);
    for (size_t i = 0; i < n; i += every) {
        svg << "<text class='a' x='" << x(static_cast<double>(i)) << "' y='" << H - B + 15
            << "' text-anchor='middle'>" << (i < names.size() ? safe(names[i]) : std::to_string(i)) << "</text>";
    }
    svg << "<text class='a' x='" << W - R << "' y='" << H - B + 28
        << "' text-anchor='end'>" << safe(along) << "</text><text class='a' x='" << W - R << "' y='16' text-anchor='end'>"
        << safe(unit) << "</text>";
    double at = L;
    for (size_t k = 0; k < curves.size(); ++k) {
        const Curve& c = curves[k];
        const char* colour = kColours[static_cast<size_t>(c.colour) % std::size(kColours)];
        svg << "<polyline fill='none' stroke='" << colour << "' stroke-width='1.8'"
            << (c.dashed ? " stroke-dasharray='5 4'" : "") << " points='";
        for (size_t i = 0; i < c.values.size(); ++i)
            svg << x(static_cast<double>(i)) << ',' << y(c.values[i]) << ' ';
        svg << "'/>";
        svg << "<line x1='" << at << "' x2='" << at + 18 << "' y1='" << H - 9 << "' y2='" << H - 9
            << "' stroke='" << colour << "' stroke-width='2.5'" << (c.dashed ? " stroke-dasharray='5 4'" : "")
            << "/><text class='a' x='" << at + 22 << "' y='" << H - 5 << "'>" << safe(c.name) << "</text>";
        at += 40 + 6.2 * static_cast<double>(c.name.size());
    }
    svg << "</svg>";
    return svg.str();
}

namespace {

std::string quantilePlot(const RunResult& r) {
    constexpr double W = 560, L = 110, R = 20, T = 34, row = 30;
    double H = T + row * static_cast<double>(r.products.size()) + 34;
    double low = 1e9, high = 1;
    for (const ProductResult& p : r.products) {
        if (p.delivery.p50 <= 0) continue;
        low = std::min(low, p.delivery.p50), high = std::max(high, p.delivery.p999);
    }
    if (low > high) return "";
    low = std::pow(10, std::floor(std::log10(low))), high = std::pow(10, std::ceil(std::log10(high)));
    auto x = [&](double v) {
        return L + (W - L - R) * std::log(std::max(v, low) / low) / std::log(high / low);
    };
    std::ostringstream svg;
    svg << std::fixed << std::setprecision(1) << "<svg viewBox='0 0 " << W << ' ' << H
        << "' role='img'><title>Time to delivery</title><text class='t' x='8' y='16'>Time to delivery: p50, "
           "p90, p99, p99.9</text><text class='a' x='"
        << W - R << "' y='16' text-anchor='end'>ms, logarithmic</text>";
    for (double v = low; v <= high * 1.01; v *= 10) {
        svg << "<line class='g' x1='" << x(v) << "' x2='" << x(v) << "' y1='" << T - 6 << "' y2='" << H - 24
            << "'/><text class='a' x='" << x(v) << "' y='" << H - 8 << "' text-anchor='middle'>" << shown(v)
            << "</text>";
    }
    for (size_t i = 0; i < r.products.size(); ++i) {
        const ProductResult& p = r.products[i];
        double y = T + row * (static_cast<double>(i) + 0.5);
        svg << "<text class='a' x='" << L - 8 << "' y='" << y + 4 << "' text-anchor='end'>" << safe(p.name)
            << "</text>";
        if (p.delivery.p50 <= 0) continue;
        svg << "<line x1='" << x(p.delivery.p50) << "' x2='" << x(p.delivery.p999) << "' y1='" << y
            << "' y2='" << y << "' stroke='#9fb3c8' stroke-width='5'/>";
        for (double q : {p.delivery.p50, p.delivery.p90, p.delivery.p99, p.delivery.p999}) {
            svg << "<circle cx='" << x(q) << "' cy='" << y << "' r='5' fill='"
                << kColours[i % std::size(kColours)] << "'><title>" << shown(q) << " ms</title></circle>";
        }
    }
    svg << "</svg>";
    return svg.str();
}

// Who could hear whom between the senders: a square for each stretch of seconds in which that was the same. A row
// hears the columns that are filled.
std::string linkSquares(const RunResult& r) {
    struct Stretch {
        size_t from = 0, to = 0;
    };
    std::vector<Stretch> stretches;
    for (size_t i = 0; i < r.series.size(); ++i) {
        if (r.series[i].hears.empty()) continue;
        bool same = !stretches.empty() && r.series[stretches.back().from].hears == r.series[i].hears;
        if (!same) stretches.push_back({i, i});
        stretches.back().to = i;
    }
    if (stretches.empty()) return "";
    auto n = static_cast<size_t>(std::lround(std::sqrt(static_cast<double>(r.series[stretches[0].from].hears.size()))));
    double cell = std::clamp(110.0 / static_cast<double>(n), 2.0, 14.0), side = cell * static_cast<double>(n);
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << "<h3>Who could hear whom between the senders</h3><div class='links'>";
    for (const Stretch& s : stretches) {
        const std::string& hears = r.series[s.from].hears;
        out << "<figure><svg viewBox='0 0 " << side << ' ' << side << "' style='width:" << side << "px'><title>seconds " << s.from
            << " to " << s.to + 1 << "</title>";
        for (size_t a = 0; a < n; ++a) {
            for (size_t b = 0; b < n; ++b) {
                // The row hears what the column says: the link is from b to a.
                bool good = hears[b * n + a] == '1';
                out << "<rect x='" << cell * static_cast<double>(b) << "' y='" << cell * static_cast<double>(a) << "' width='"
                    << cell - 0.5 << "' height='" << cell - 0.5 << "' fill='" << (a == b ? "#1d2733" : good ? "#9cc5a1" : "#d98880")
                    << "'><title>" << a << (good ? " hears " : " does not hear ") << b << "</title></rect>";
            }
        }
        out << "</svg><figcaption>" << s.from << " to " << s.to + 1 << " s</figcaption></figure>";
    }
    out << "</div>";
    return out.str();
}

std::string runSection(const RunResult& r) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "<section><h2>" << safe(r.scenario) << ", " << safe(r.kind) << ", seed " << r.seed
        << "</h2><p class='big'><b>" << 100 * r.service() << "%</b> of the possible revenue, <b>"
        << 100 * r.serviceInTime() << "%</b> within the SLA time; " << r.texts << " texts, " << r.calls
        << " calls (" << r.wastedCalls << " in vain)</p>";
    if (!r.voidBecause.empty()) out << "<p class='bad'>Void: " << safe(r.voidBecause) << "</p>";
    if (r.breaches.empty()) {
        out << "<p class='good'>No rule broken.</p>";
    } else {
        out << "<p class='bad'>";
        for (int rule = 1; rule < 7; ++rule) {
            int n = r.breachCounts[static_cast<size_t>(rule)];
            if (n > 0)
                out << "Rule " << rule << " (" << nameOf(static_cast<Rule>(rule)) << ") broken " << n
                    << " times. ";
        }
        out << "</p><ul>";
        for (size_t i = 0; i < r.breaches.size() && i < 20; ++i) {
            out << "<li>at " << (r.breaches[i].at - Instant()).inSeconds()
                << " s: " << safe(r.breaches[i].words) << "</li>";
        }
        out << "</ul>";
    }
    out << "<table><tr><th>product<th>handed in<th>within SLA time<th>after "
           "it<th>undeliverable<th>refused<th>expired<th>revenue<th>p50 ms<th>p99 ms<th>first submit p99 "
           "ms</tr>";
    for (const ProductResult& p : r.products) {
        out << "<tr><td>" << safe(p.name) << "<td>" << p.handed << "<td>" << p.inTime << "<td>" << p.late
            << "<td>" << p.undeliverable << "<td>" << p.refused << "<td>" << p.expired << "<td>"
            << (p.possible > 0 ? 100 * p.made / p.possible : 100) << "%<td>" << p.delivery.p50 << "<td>"
            << p.delivery.p99 << "<td>" << p.firstSubmit.p99 << "</tr>";
    }
    out << "</table><div class='plots'>";
    auto series = [&](auto of) {
        std::vector<double> v;
        for (const SecondOf& s : r.series) v.push_back(of(s));
        return v;
    };
    out << plot("Revenue by the second in which its texts came", "revenue a second",
                {{"possible", series([](auto& s) { return s.possible; }), true, 5},
                 {"made", series([](auto& s) { return s.made; }), false, 0}});
    out << quantilePlot(r);
    out << plot(
        "Texts without their end, calls out", "count",
        {{"texts open", series([](auto& s) { return static_cast<double>(s.open); }), false, 0},
         {"calls out (slots)", series([](auto& s) { return static_cast<double>(s.out); }), false, 1}});
    out << plot(
        "Calls and those turned away", "calls a second",
        {{"calls", series([](auto& s) { return static_cast<double>(s.calls); }), false, 0},
         {"turned away", series([](auto& s) { return static_cast<double>(s.refusedCalls); }), false, 4}});
    for (size_t g = 0; g < r.groups.size(); ++g) {
        out << plot(
            "Calls against what " + r.groups[g] + " can take", "calls a second",
            {{"calls", series([g](auto& s) {
                  return g < s.groupCalls.size() ? static_cast<double>(s.groupCalls[g]) : 0;
              }),
              false, 0},
             {"limit", series([g](auto& s) { return g < s.groupLimits.size() ? s.groupLimits[g] : 0; }), true,
              5}});
    }
    std::string links = linkSquares(r);
    if (!links.empty()) {
        std::vector<Curve> views;
        for (size_t v = 0; v < std::min<size_t>(r.senders.size(), 8); ++v) {
            views.push_back({"sender " + std::to_string(v), series([v](auto& s) {
                                 return v < s.believed.size() ? std::max(0.0, static_cast<double>(s.believed[v])) : 0;
                             }),
                             false, static_cast<int>(v)});
        }
        out << plot("Members that each sender believes to be there", "members", views);
    }
    out << "</div>" << links;
    if (!r.senders.empty()) {
        out << std::setprecision(2)
            << "<table><tr><th>sender<th>CPU seconds<th>most memory MB<th>most threads<th>most "
               "descriptors<th>starts</tr>";
        for (size_t i = 0; i < r.senders.size(); ++i) {
            const SenderResult& s = r.senders[i];
            out << "<tr><td>" << i << "<td>" << s.cpuSeconds << "<td>" << s.memoryMb << "<td>" << s.threads
                << "<td>" << s.descriptors << "<td>" << s.starts << "</tr>";
        }
        out << "</table><p>The judge was late by " << r.lateP99 << " ms (p99), " << r.lateMost
            << " ms at most.</p>";
    }
    out << "</section>";
    return out.str();
}

}  // namespace

namespace {

std::string pageHead() {
    return "<!doctype html><html lang='en'><meta charset='utf-8'><meta name='viewport' "
           "content='width=device-width'><title>petrelfleet</title><style>"
           "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1180px;padding:0 "
           "1em;color:#1d2733}"
           "h1{font-size:1.5em}h2{font-size:1.2em;border-top:1px solid #cfd8e0;padding-top:1em}"
           "table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em "
           ".7em;text-align:right;border-bottom:1px solid #dfe6ec;font-weight:normal}"
           "th{color:#5f6b76;font-size:.85em}td:first-child,th:first-child{text-align:left}"
           ".plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(430px,1fr));gap:1.2em}"
           "svg{width:100%;background:#fbfcfd;border:1px solid "
           "#e3e9ee;border-radius:4px}.t{font-size:14px;font-weight:600}.a{font-size:11px;fill:#5f6b76}"
           ".links{display:flex;flex-wrap:wrap;gap:1em}figure{margin:0}figcaption{font-size:.8em;color:#5f6b76}"
           ".g{stroke:#e3e9ee}.good{color:#2f6d33}.bad{color:#a3272f;font-weight:600}.big{font-size:1.1em}</"
           "style>";
}

}  // namespace

std::string plotPage(const std::string& title, const std::vector<std::string>& plots) {
    std::string out = pageHead() + "<h1>" + safe(title) + "</h1><div class='plots'>";
    for (const std::string& p : plots) out += p;
    return out + "</div></html>\n";
}

std::string reportPage(const std::vector<RunResult>& runs) {
    std::ostringstream out;
    out << pageHead() << "<h1>petrelfleet: "
        << runs.size() << (runs.size() == 1 ? " run" : " runs") << " among stand-in partners</h1>";
    for (const RunResult& r : runs) out << runSection(r);
    out << "</html>\n";
    return out.str();
}

}  // namespace petrelpond::fleet
