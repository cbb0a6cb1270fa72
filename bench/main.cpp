#include "BenchOptions.h"
#include "ExitCode.h"
#include "JsonReport.h"
#include "Matrix.h"
#include "SvgPlot.h"
#include "TableReport.h"

#include <fstream>
#include <iostream>

using namespace jayhold;
using namespace jayhold::bench;

namespace {

auto writeFile(const std::string& file, const std::string& text) -> bool
{
    if (file.empty())
        return true;
    std::ofstream out(file);
    out << text;
    out.flush();
    if (!out)
        std::cerr << "jayhold-bench: can't write " << file << '\n';
    return static_cast<bool>(out);
}

auto runBench(const BenchOptions& options) -> ExitCode
{
    auto rows = runCells(cellsFor(options), options.threads);
    const auto checks = checkBounds(rows);
    printTable(std::cout, rows, options.details);
    printChecks(std::cout, checks);
    const bool json = writeFile(options.jsonFile, options.jsonFile.empty() ? "" : jsonReport(rows, checks));
    const bool svg = writeFile(options.svgFile, svgPlot(rows));
    return json && svg ? ExitCode::Success : ExitCode::Failed;
}

}

auto main(int argc, char** argv) -> int
{
    try {
        const auto options = parseBenchOptions(argc, argv);
        return static_cast<int>(options ? runBench(*options) : ExitCode::Success);
    } catch (const UsageError& error) {
        std::cerr << "jayhold-bench: " << error.text << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
}
