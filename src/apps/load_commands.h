#pragma once

/// Commands of ferryrock-load that live in files of their own.
namespace ferryrock::load {

/// The arguments of one command; the first value is the command's name.
struct ArgumentList {
  int count;
  char** values;
};

/// `ferryrock-load operators`: stand-in operators and watchers. Returns the exit code.
int operatorsCommand(ArgumentList arguments);
/// `ferryrock-load figures`: figures of a run on a fleet. Returns the exit code.
int figuresCommand(ArgumentList arguments);
/// `ferryrock-load report`: a table of records, and a plot. Returns the exit code.
int reportCommand(ArgumentList arguments);

}  // namespace ferryrock::load
