package main

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"bergamotcroft.example/bergamot/capacity"
)

// attachCapacity adds the subcommand that prints the tables of docs/CAPACITY.md, and returns it with the function
// that runs it.
func attachCapacity() (sub *flaggy.Subcommand, run func(io.Writer) error) {
	file := capacity.DefaultFile
	sub = flaggy.NewSubcommand("capacity")
	sub.Description = "measure the cost of each role and print the tables of docs/CAPACITY.md"
	sub.String(&file, "f", "file", "file with the lines that tests and benchmarks printed")
	flaggy.AttachSubcommand(sub, 1)
	return sub, func(w io.Writer) error { return capacity.Run(context.Background(), w, file) }
}
