#pragma once

#include "catalogue/catalogue.h"
#include "catalogue/catalogueerror.h"

#include <string>
#include <string_view>
#include <vector>

namespace Lycheewall
{

/// Collects the problems of one file up to a maximum number. Thread safety: none; it is owned by one parser.
class ProblemList
{
public:
    explicit ProblemList(std::string fileName);

    /// @p line is counted from 1; 0 stands for the file as a whole.
    void add(CatalogueError error, int line, std::string item, std::string expected);

    bool empty() const;
    /// True if further problems are discarded. Callers use it to skip the costly construction of their messages.
    bool isFull() const;
    /// Moves the problems out of the list.
    std::vector<CatalogueProblem> takeProblems();

private:
    std::string file;
    std::vector<CatalogueProblem> problems;
};

/// Returns @p text in double quotes, truncated at a character boundary to keep messages short.
std::string quoted(std::string_view text);

/// Returns the kind and the quoted id of an item, for example `pool "enrolment"`.
std::string describeItem(std::string_view kind, std::string_view id);

/// Returns the candidate with the smallest edit distance to @p word, or an empty string if there are no candidates.
std::string_view closestMatch(std::string_view word, const std::vector<std::string_view> &candidates);

}
