// Simulator-adapter runs the decisions of package policy on the simulator's wire. It
// hosts many instances, each a policy.Balancer of its own, on standard input and output.
// It decides nothing itself.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"

	"mothridge/internal/wire"
)

const (
	// gcPercent lets the heap, which is small, grow ninefold before it is collected. That
	// costs little memory and keeps the time of a batch even.
	gcPercent = 800
	// readBufferSize is the buffer of standard input, in bytes.
	readBufferSize = 1 << 16
)

func main() {
	runtime.GOMAXPROCS(1) // batches are answered one at a time
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := newHost()
	reader := wire.NewReader(bufio.NewReaderSize(in, readBufferSize))
	for {
		batch, err := reader.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := h.answer(batch)
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch.Number, err)
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}
