// Package planner decides which experts the ranks of a model group hold. It is
// pure: loads and the map in force in, the next map out.
//
// A rank's load is the sum over its slots of the expert's load times the
// slot's share of it. Loads are tokens a window; skew is the load of the
// slowest rank less that of the fastest, over the mean.
package planner
