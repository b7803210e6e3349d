// Command kingcupreel-demo runs an entry, agents and stand-ins of the outside
// systems in one process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/demo"
)

func main() {
	app := kingpin.New("kingcupreel-demo", "Run kingcupreel with embedded stand-ins.")
	once := app.Flag("once", "Send one streaming request, print the response and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *once); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, once bool) error {
	d, err := demo.Start(ctx)
	if err != nil {
		return err
	}
	if once {
		return d.Complete(ctx, "hello", os.Stdout)
	}
	fmt.Printf("callers:   %s\noperators: %s\n\ntry:\n", d.Caller, d.Ops)
	fmt.Printf("  curl -N %s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"demo-model\",\"prompt\":\"hello\",\"stream\":true}'\n", d.Caller, demo.CallerToken)
	fmt.Printf("  kingcupreelctl --entry %s --token %s status\n\nCtrl-C stops.\n", d.Ops, demo.OperatorToken)
	<-ctx.Done()
	return nil
}
