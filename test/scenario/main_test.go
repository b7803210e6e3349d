// Package scenario runs scripted scenarios against the real programs and the
// stand-ins, each in a process of its own. The scripts are in testdata.
package scenario

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcupreel/kingcupreel/internal/ctl"
	"github.com/kingcupreel/kingcupreel/internal/daemon"
	"github.com/kingcupreel/kingcupreel/internal/standin/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kingcupreeld":        daemon.Exit,
		"kingcupreelctl":      func() { os.Exit(ctl.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) },
		"kingcupreel-standin": command.Exit,
		"call":                callMain,
		"check":               checkMain,
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[processesKey{}] = &processes{byName: map[string]*process{}}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":      cmdStart,
			"fleet":      cmdFleet,
			"signal":     cmdSignal,
			"exited":     cmdExited,
			"until":      cmdUntil,
			"ranks":      cmdRanks,
			"leader":     cmdLeader,
			"startagent": cmdStartAgent,
			"disturb":    cmdDisturb,
			"restart":    cmdRestart,
			"storm":      cmdStorm,
		},
	})
}
