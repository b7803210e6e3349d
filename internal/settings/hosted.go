package settings

import (
	"errors"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Hosted holds the settings of a process whose node settings come from the
// platform's settings file.
type Hosted struct {
	LogLevel    string
	MetricsPort int

	// common records the flag values that can't be parsed, for Check.
	common Common
}

// Declare adds the flags to a command.
func (h *Hosted) Declare(cmd *kingpin.CmdClause) {
	flag(cmd, "log-level", "Log level: debug, info, warn or error.").Default("info").StringVar(&h.LogLevel)
	h.common.number(cmd, "metrics-port", "Port of the metrics on the VM's address.", "9464", &h.MetricsPort)
}

// Check returns every fault of the settings, or nil.
func (h *Hosted) Check() error {
	var faults []error
	for name, v := range h.common.malformed {
		faults = append(faults, fault.New(fault.Invalid, v.remedy, "--%s: %q can't be read", name, v.text))
	}
	if h.MetricsPort < 1 || h.MetricsPort > 65535 {
		faults = append(faults, fault.New(fault.Invalid, "give a port from 1 to 65535", "--metrics-port: %d is out of range", h.MetricsPort))
	}
	return errors.Join(faults...)
}
