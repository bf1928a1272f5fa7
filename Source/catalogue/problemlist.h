#pragma once

#include "catalogue/catalogue.h"
#include "catalogue/catalogueerror.h"

#include <string>
#include <string_view>
#include <vector>

namespace Lycheewall
{

/// Collects the problems of one file. Thread safety: none; one parser owns it.
class ProblemList
{
public:
    explicit ProblemList(std::string fileName);

    /// @p line counts from 1; 0 means the file as a whole.
    void add(CatalogueError error, int line, std::string item, std::string expected);

    bool empty() const;
    /// True when further problems are no longer kept, so that costly messages need not be made.
    bool full() const;
    std::vector<CatalogueProblem> take();

private:
    std::string file;
    std::vector<CatalogueProblem> problems;
};

/// @p text in double quotes; shortened, so that a message stays readable whatever the file holds.
std::string quoted(std::string_view text);

/// Like quoted(), with the kind in front: `pool "enrolment"`.
std::string itemText(std::string_view kind, std::string_view id);

/// The candidate with the smallest edit distance to @p word; empty without candidates.
std::string_view nearest(std::string_view word, const std::vector<std::string_view> &candidates);

}
