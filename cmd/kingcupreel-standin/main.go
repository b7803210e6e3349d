// Command kingcupreel-standin runs a stand-in of an outside system, such as the
// key-value service or an engine.
package main

import "github.com/kingcupreel/kingcupreel/internal/standin/command"

func main() { command.Exit() }
