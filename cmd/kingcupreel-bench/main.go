// Command kingcupreel-bench is the load and experiment tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/kingcupreel/kingcupreel/internal/bench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := bench.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
