package wire

import "github.com/kingcupreel/kingcupreel/internal/timeline"

// The message kinds of configuration distribution and of what operators ask.
const (
	KindConfigState Kind = iota + 60
	KindConfigPull
	KindConfigUpdate
	KindVMsPull
	KindVMsUpdate
	KindStatusRequest
	KindStatusReply
)

// ConfigState says which configuration and VM list the sender has. It is sent
// at each change and periodically; whoever is behind pulls.
type ConfigState struct {
	Revision int64
	Base     int64
	// AgeMS is how long ago the sender's revision was known to be the newest
	// at the service, in milliseconds; negative means never.
	AgeMS int64
	// Restored says that the service was seen to go back to an older copy.
	Restored bool
	// VMs is the hash of the VM list, VMsAgeMS its age as AgeMS.
	VMs      uint64
	VMsAgeMS int64
	Stamp    timeline.Stamp
}

// ConfigPull asks for what the sender lacks after its revision. An agent names
// its upstream and gets its own part only.
type ConfigPull struct {
	Revision int64
	Base     int64
	Upstream string
}

// ConfigUpdate is one part of an update, Part of Parts counted from 1. From is
// 0 and Full is set for a full snapshot.
type ConfigUpdate struct {
	Base    int64
	From    int64
	To      int64
	Full    bool
	Partial bool
	Part    int
	Parts   int
	Records []ConfigRecord
	Removed []string
	Stamp   timeline.Stamp
}

// VMsPull asks for the changes of the VM list since the list of that hash.
type VMsPull struct{ Hash uint64 }

// VM is one VM of the VM list.
type VM struct {
	ID         string
	DataCentre string
	Role       string
	Address    string
	State      string
}

// VMsUpdate changes the list of hash From into that of hash To, or is whole.
type VMsUpdate struct {
	From, To uint64
	Full     bool
	AgeMS    int64
	Changed  []VM
	Removed  []string
}

// StatusRequest asks an entry for its own state and that of the agents that it
// is connected to. Below leaves out those whose revision is Below or higher; 0
// leaves out none.
type StatusRequest struct {
	Nonce uint64
	Below int64
}

// StatusReply carries the states as JSON, one opapi.ProcessStatus each.
type StatusReply struct {
	Nonce     uint64
	Processes [][]byte
}

// Kind implements Message.
func (*ConfigState) Kind() Kind { return KindConfigState }

// Kind implements Message.
func (*ConfigPull) Kind() Kind { return KindConfigPull }

// Kind implements Message.
func (*ConfigUpdate) Kind() Kind { return KindConfigUpdate }

// Kind implements Message.
func (*VMsPull) Kind() Kind { return KindVMsPull }

// Kind implements Message.
func (*VMsUpdate) Kind() Kind { return KindVMsUpdate }

// Kind implements Message.
func (*StatusRequest) Kind() Kind { return KindStatusRequest }

// Kind implements Message.
func (*StatusReply) Kind() Kind { return KindStatusReply }

func (m *ConfigState) stamp() *timeline.Stamp  { return &m.Stamp }
func (m *ConfigUpdate) stamp() *timeline.Stamp { return &m.Stamp }

// configurationFactories makes the messages of configuration distribution, kinds 60 to 69.
var configurationFactories = map[Kind]factory{
	KindConfigState:   func() Message { return new(ConfigState) },
	KindConfigPull:    func() Message { return new(ConfigPull) },
	KindConfigUpdate:  func() Message { return new(ConfigUpdate) },
	KindVMsPull:       func() Message { return new(VMsPull) },
	KindVMsUpdate:     func() Message { return new(VMsUpdate) },
	KindStatusRequest: func() Message { return new(StatusRequest) },
	KindStatusReply:   func() Message { return new(StatusReply) },
}
