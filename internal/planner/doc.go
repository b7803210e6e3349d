// Package planner decides which experts the ranks of a model group hold. It is
// pure logic: from loads and the current map it computes the next map.
//
// A rank's load is the sum over its slots of the expert's load times the slot's
// share of it. Loads are tokens per window. Skew is the load of the slowest
// rank minus that of the fastest, divided by the mean.
package planner
