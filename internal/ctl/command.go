package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Exit codes of the tool.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage reports an invalid argument or record.
	ExitUsage = 2
	// ExitConflict reports that a record changed since the operator read it.
	ExitConflict = 3
	// ExitDiffers reports that diff found differences.
	ExitDiffers = 4
	// ExitNotInForce reports that a revision did not take effect everywhere
	// within --wait-timeout.
	ExitNotInForce = 5
)

// exitError is an error that determines the exit code.
type exitError struct {
	code    int
	message string
}

// Error implements the error interface.
func (e *exitError) Error() string { return e.message }

// tool holds the flags, arguments and output streams of one run.
type tool struct {
	client Client
	out    io.Writer
	errOut io.Writer
	output string

	files         []string
	kind, name    string
	schema1Only   bool
	wait          bool
	waitTimeout   time.Duration
	undoDrain     bool
	toVersion     int
	rewriteStored bool
	filter        eventFilter
}

// Main parses the arguments, runs the command and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := kingpin.New("kingcupreelctl", "Operate kingcupreel.")
	app.UsageWriter(out).ErrorWriter(errOut)
	t := &tool{out: out, errOut: errOut}
	commands := t.registerCommands(app)
	cmd, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "%v; see kingcupreelctl --help\n", err)
		return ExitUsage
	}
	if err := commands[cmd](ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return exitCode(err)
	}
	return ExitOK
}

// registerCommands declares the flags and commands. It returns the function
// that runs each command, by the command's name.
func (t *tool) registerCommands(app *kingpin.Application) map[string]func(context.Context) error {
	app.Flag("entry", "Base URL of an entry's operator interface, such as http://10.0.0.5:8081.").Envar("KINGCUPREEL_ENTRY").StringVar(&t.client.BaseURL)
	app.Flag("token", "Operator's bearer token.").Envar("KINGCUPREEL_TOKEN").StringVar(&t.client.Token)
	app.Flag("output", "Output form: text or json.").Short('o').Envar("KINGCUPREEL_OUTPUT").Default("text").EnumVar(&t.output, "text", "json")
	commands := map[string]func(context.Context) error{}
	command := func(name, help string, run func(context.Context) error) *kingpin.CmdClause {
		commands[name] = run
		return app.Command(name, help)
	}
	files := func(cmd *kingpin.CmdClause) {
		cmd.Arg("file", "YAML or JSON files.").Required().ExistingFilesVar(&t.files)
	}
	files(command("validate", "Check record files without an entry.", t.validate))
	apply := command("apply", "Write record files; a record in schema version 1 keeps the stored fields that only version 2 has.", t.apply)
	t.addWaitFlags(apply)
	files(apply)
	files(command("diff", "Show what apply would change. The exit code is 4 if there are differences.", t.diff))
	get := command("get", "Show the records, or one record as a file for apply.", t.get)
	get.Flag("old", "Only records stored in schema version 1.").BoolVar(&t.schema1Only)
	get.Arg("kind", "Kind, such as upstream.").StringVar(&t.kind)
	get.Arg("name", "Name.").StringVar(&t.name)
	remove := command("delete", "Remove a record.", t.delete)
	t.addWaitFlags(remove)
	remove.Arg("kind", "Kind, such as upstream.").Required().StringVar(&t.kind)
	remove.Arg("name", "Name.").Required().StringVar(&t.name)
	drain := command("drain", "Send an upstream no new work; work in flight continues.", t.drain)
	t.addWaitFlags(drain)
	drain.Flag("undo", "End the drain: send the upstream new work again.").BoolVar(&t.undoDrain)
	drain.Arg("upstream", "Name of the upstream.").Required().StringVar(&t.name)
	evacuate := command("evacuate", "Send the upstreams of a data centre no new work; work in flight continues.", t.evacuate)
	t.addWaitFlags(evacuate)
	evacuate.Arg("data-centre", "Name of the data centre.").Required().StringVar(&t.name)
	restore := command("restore", "End the evacuation of a data centre: send its upstreams new work again.", t.restore)
	t.addWaitFlags(restore)
	restore.Arg("data-centre", "Name of the data centre.").Required().StringVar(&t.name)
	convert := command("convert", "Print record files in another schema version, or rewrite the records stored in version 1 in version 2.", t.convert)
	convert.Flag("to", "Schema version: 1 or 2.").Default("2").IntVar(&t.toVersion)
	convert.Flag("stored", "Rewrite the records stored in schema version 1.").BoolVar(&t.rewriteStored)
	convert.Arg("file", "YAML or JSON files.").ExistingFilesVar(&t.files)
	command("status", "Show revision, staleness, load, drains and evacuations of every process.", t.status)
	command("plan", "Show the state of the expert plans.", t.plan)
	command("quarantine", "Show the requests that were in flight when engines crashed.", t.quarantine)
	command("adopt", "Put the records of a key-value service that was restored from an older copy into force.", t.adopt)
	events := command("timeline", "Show the events of all processes in causal order.", t.timeline)
	events.Flag("request", "Only events of this request.").StringVar(&t.filter.request)
	events.Flag("upstream", "Only events of this upstream, its agent and its attempts.").StringVar(&t.filter.upstream)
	events.Flag("group", "Only events of this model group, its upstreams and their attempts.").StringVar(&t.filter.group)
	return commands
}

func (t *tool) addWaitFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("wait", "Wait until the change is in force everywhere; name the processes that lack it at the timeout.").BoolVar(&t.wait)
	cmd.Flag("wait-timeout", "Longest time that --wait waits.").Default("10s").DurationVar(&t.waitTimeout)
}

func exitCode(err error) int {
	if e, ok := err.(*exitError); ok {
		return e.code
	}
	switch fault.KindOf(err) {
	case fault.Conflict:
		return ExitConflict
	case fault.Invalid:
		return ExitUsage
	}
	return ExitFailure
}

// print writes v as JSON with --output json, and calls printText otherwise.
func (t *tool) print(v any, printText func()) error {
	if t.output == "json" {
		return json.NewEncoder(t.out).Encode(v)
	}
	printText()
	return nil
}
