package engineapi

import "github.com/kingcupreel/kingcupreel/internal/expertmap"

// Paths of a rank's engine for expert maps. The methods of expertmap.Engine
// describe what each does.
const (
	PathMapStatus = "/map/status"
	PathMapStage  = "/map/stage"
	PathMapHold   = "/map/hold"
	PathMapRefuse = "/map/refuse"
	PathMapResume = "/map/resume"
	PathMapStop   = "/map/stop"
	PathMapForm   = "/map/form"
)

// MapStatus is the answer to PathMapStatus.
type MapStatus struct {
	expertmap.Status
	Map expertmap.Map `json:"map"`
	// Window is the number of the last completed reporting window. Tokens are
	// the tokens that the rank routed to each of its experts in that window, and
	// StepMicros is the mean duration of its steps in microseconds.
	Window     int64     `json:"window"`
	Tokens     []float64 `json:"tokens"`
	StepMicros int64     `json:"stepMicros"`
}

// MapStage is the body of PathMapStage. The engine starts to load the weights
// that the rank lacks and answers without waiting for them.
type MapStage struct {
	Map   expertmap.Map `json:"map"`
	Fence int64         `json:"fence"`
}

// MapHold is the body of PathMapHold and PathMapRefuse.
type MapHold struct {
	ID    expertmap.SwitchID `json:"id"`
	Fence int64              `json:"fence,omitempty"`
}

// MapVote is the answer to PathMapHold and PathMapRefuse.
type MapVote struct {
	Yes bool `json:"yes"`
}

// MapResume is the body of PathMapResume.
type MapResume struct {
	ID      expertmap.SwitchID `json:"id"`
	Version int64              `json:"version"`
}

// MapStop is the body of PathMapStop; the answer is an expertmap.Report.
type MapStop struct {
	Round int64 `json:"round"`
	// StagedVersion is the version of a staged map under which the group is to
	// form again; 0 means none.
	StagedVersion int64 `json:"want,omitempty"`
}

// MapForm is the body of PathMapForm.
type MapForm struct {
	Round     int64 `json:"round"`
	Version   int64 `json:"version"`
	Completed int64 `json:"completed"`
}
