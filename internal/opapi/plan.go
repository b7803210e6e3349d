package opapi

// Plan is what an entry knows of a group's planning. Only the holder of the
// planner's lease, Planner, knows more than the first four fields.
type Plan struct {
	Group  string `json:"group"`
	Preset string `json:"preset,omitempty"`
	// IsLeader says that this entry holds the planner's lease, with the fencing
	// number Fence.
	IsLeader bool  `json:"leads"`
	Fence    int64 `json:"fence,omitempty"`
	// Version is the map in force, State what the planner is doing, and Note
	// the reason.
	Version int64  `json:"version,omitempty"`
	State   string `json:"state,omitempty"`
	Reason  string `json:"note,omitempty"`
	// SkewBefore and SkewAfter are the skew that the last plan predicted
	// without and with it; Moved and Bytes are its weight traffic.
	SkewBefore float64 `json:"skew_before,omitempty"`
	SkewAfter  float64 `json:"skew_after,omitempty"`
	Moved      int     `json:"moved_slots,omitempty"`
	Bytes      int64   `json:"moved_bytes,omitempty"`
	// StagesLeft counts the switches to come.
	StagesLeft int `json:"stages_left,omitempty"`
	// Stragglers are ranks that are slow for other reasons than their experts.
	Stragglers []int `json:"stragglers,omitempty"`
}

// Plans is the answer to PathPlan: every model group with an expert-plan record.
type Plans struct {
	Plans []Plan `json:"plans"`
}
