package daemon

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/settings"
)

// Exit codes of the daemon. ExitSettings reports faulty arguments or settings.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Main parses the arguments, checks the settings and runs the daemon. It
// returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := kingpin.New("kingcupreeld", "Load balancer for expert-parallel model groups.")
	app.UsageWriter(out).ErrorWriter(errOut)
	var entrySettings settings.Entry
	var agentSettings settings.Agent
	entryCmd := app.Command("entry", "Serve callers and operators on an entry VM.")
	entrySettings.Declare(entryCmd)
	agentCmd := app.Command("agent", "Serve the upstream of this VM.")
	agentSettings.Declare(agentCmd)
	var hosted settings.Hosted
	gatewayCmd := app.Command("gateway", "Serve callers on an entry VM of the platform, from its settings file.")
	hosted.Declare(gatewayCmd)
	rankCmd := app.Command("rank", "Run the rank agent of the model replica on an upstream VM of the platform, from its settings file.")
	var rankSettings settings.Hosted
	rankSettings.Declare(rankCmd)
	cmd, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "%v; see kingcupreeld --help\n", err)
		return ExitSettings
	}
	switch cmd {
	case entryCmd.FullCommand():
		return run(entrySettings.Check(), errOut, func() error { return RunEntry(ctx, entrySettings, out) })
	case rankCmd.FullCommand():
		return run(rankSettings.Check(), errOut, func() error { return RunRank(ctx, rankSettings, out) })
	case gatewayCmd.FullCommand():
		return run(hosted.Check(), errOut, func() error { return RunGateway(ctx, hosted, out) })
	}
	return run(agentSettings.Check(), errOut, func() error { return RunAgent(ctx, agentSettings, out) })
}

func run(settingsErr error, errOut io.Writer, serve func() error) int {
	if settingsErr != nil {
		fmt.Fprintln(errOut, settingsErr)
		return ExitSettings
	}
	if err := serve(); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailure
	}
	return ExitOK
}

// Exit runs Main with the command line's arguments and exits the process.
func Exit() { os.Exit(Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
