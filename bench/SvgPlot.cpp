#include "SvgPlot.h"

#include <algorithm>
#include <functional>
#include <map>
#include <sstream>
#include <utility>

namespace jayhold::bench {

namespace {

using Points = std::vector<std::pair<double, double>>;

struct Panel {
    std::string title;
    std::string unit;
    std::map<std::string, Points> lines;
};

constexpr double panelWidth = 440;
constexpr double panelHeight = 240;
constexpr double margin = 50;
/// Legend entries per row.
constexpr std::size_t namesPerRow = 3;
constexpr const char* colours[] = { "#444444", "#c0392b", "#2471a3", "#1e8449", "#b9770e", "#7d3c98", "#117864" };

auto lineName(const Row& row) -> std::string
{
    return row.sharing == Sharing::Independent ? row.arm : row.arm + " " + std::string(name(row.sharing));
}

auto panelsOf(std::span<const Row> rows) -> std::vector<Panel>
{
    std::map<std::string, std::pair<Panel, Panel>> byTitle;
    for (const auto& row : rows) {
        const auto title = row.workload + (withFaults(row) ? ", faults " + row.faults : ", no faults");
        auto& [goodput, waste] = byTitle[title];
        goodput.title = title + ": goodput";
        goodput.unit = "requests/s";
        goodput.lines[lineName(row)].emplace_back(row.load, goodputRate(row));
        goodput.lines["clairvoyant bound"].emplace_back(row.load, boundRate(row));
        waste.title = title + ": wasted prefill";
        waste.unit = "% of prefill tokens";
        waste.lines[lineName(row)].emplace_back(row.load, 100 * row.result.metrics.wastedShare());
    }
    std::vector<Panel> panels;
    for (auto& [title, pair] : byTitle) {
        panels.push_back(std::move(pair.first));
        panels.push_back(std::move(pair.second));
    }
    return panels;
}

struct Scale {
    double left;
    double top;
    double maxX;
    double maxY;

    auto x(double value) const -> double { return left + margin + value / maxX * (panelWidth - 2 * margin); }
    auto y(double value) const -> double { return top + panelHeight - margin - value / maxY * (panelHeight - 2 * margin); }
};

auto scaleOf(const Panel& panel, double left, double top) -> Scale
{
    Scale scale { left, top, 0.1, 0.1 };
    for (const auto& [name, points] : panel.lines) {
        for (const auto& [x, y] : points) {
            scale.maxX = std::max(scale.maxX, x);
            scale.maxY = std::max(scale.maxY, y);
        }
    }
    return scale;
}

auto drawText(std::ostream& out, double x, double y, const std::string& text, const char* colour) -> void
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" fill=\"" << colour << "\">" << text << "</text>\n";
}

auto drawAxes(std::ostream& out, const Panel& panel, const Scale& scale) -> void
{
    drawText(out, scale.left + margin, scale.top + 20, panel.title, "black");
    drawText(out, scale.left + margin, scale.top + 36, panel.unit, "#666666");
    out << "<path d=\"M" << scale.x(0) << ' ' << scale.y(scale.maxY) << " V" << scale.y(0) << " H" << scale.x(scale.maxX)
        << "\" fill=\"none\" stroke=\"#888888\"/>\n";
    for (int step = 0; step <= 4; ++step) {
        const auto value = scale.maxY * step / 4;
        std::ostringstream label;
        label.precision(3);
        label << value;
        drawText(out, scale.left + 4, scale.y(value) + 4, label.str(), "#666666");
    }
}

auto drawLines(std::ostream& out, const Panel& panel, const Scale& scale) -> void
{
    std::size_t index = 0;
    for (const auto& [name, given] : panel.lines) {
        auto points = given;
        std::ranges::sort(points);
        const auto* colour = colours[index % std::size(colours)];
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
        for (const auto& [x, y] : points)
            out << scale.x(x) << ',' << scale.y(y) << ' ';
        out << "\"/>\n";
        const auto row = index / namesPerRow;
        const auto column = index % namesPerRow;
        drawText(out, scale.x(0) + 8 + 130 * static_cast<double>(column), scale.top + panelHeight - 30 + 14 * static_cast<double>(row), name, colour);
        ++index;
    }
    for (const auto& [x, y] : panel.lines.begin()->second)
        drawText(out, scale.x(x) - 8, scale.y(0) - 3, std::to_string(x).substr(0, 4), "#666666");
}

}

auto svgPlot(std::span<const Row> rows) -> std::string
{
    const auto panels = panelsOf(rows);
    const auto panelRows = (panels.size() + 1) / 2;
    const auto height = panelHeight * static_cast<double>(panelRows);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << 2 * panelWidth << "\" height=\"" << height << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    for (std::size_t index = 0; index < panels.size(); ++index) {
        const auto row = index / 2;
        const auto scale = scaleOf(panels[index], index % 2 ? panelWidth : 0, panelHeight * static_cast<double>(row));
        drawAxes(out, panels[index], scale);
        drawLines(out, panels[index], scale);
    }
    out << "</svg>\n";
    return out.str();
}

}
