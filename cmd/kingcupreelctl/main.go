// Command kingcupreelctl is the operators' command-line tool.
package main

import (
	"context"
	"os"

	"github.com/kingcupreel/kingcupreel/internal/ctl"
)

func main() { os.Exit(ctl.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
