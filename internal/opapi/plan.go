package opapi

// Plan is an entry's view of the expert planning of a model group. Only the
// entry that holds the planner's lease sets more than the first four fields.
type Plan struct {
	Group  string `json:"group"`
	Preset string `json:"preset,omitempty"`
	// IsLeader reports whether this entry holds the planner's lease. Fence is
	// the lease's fencing number.
	IsLeader bool  `json:"leads"`
	Fence    int64 `json:"fence,omitempty"`
	// Version is the version of the expert map in force. State is what the
	// planner is doing, Reason why.
	Version int64  `json:"version,omitempty"`
	State   string `json:"state,omitempty"`
	Reason  string `json:"note,omitempty"`
	// SkewBefore and SkewAfter are the skews predicted without and with the last
	// plan. Moved and Bytes are the slots and the bytes of weights that it moves.
	SkewBefore float64 `json:"skew_before,omitempty"`
	SkewAfter  float64 `json:"skew_after,omitempty"`
	Moved      int     `json:"moved_slots,omitempty"`
	Bytes      int64   `json:"moved_bytes,omitempty"`
	// StagesLeft is the number of map switches that the plan still needs.
	StagesLeft int `json:"stages_left,omitempty"`
	// Stragglers are the ranks that are slow for reasons other than their
	// experts' load.
	Stragglers []int `json:"stragglers,omitempty"`
}

// Plans answers PathPlan with a plan for every model group that has an
// expert-plan record.
type Plans struct {
	Plans []Plan `json:"plans"`
}
