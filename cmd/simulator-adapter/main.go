// Simulator-adapter connects package policy to the simulator. It reads events of the simulator's wire protocol
// from standard input and writes actions to standard output. One process hosts many instances, and each
// instance has its own policy.Balancer. The adapter itself makes no decisions.
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
	// gcPercent lets the heap grow to nine times its live size before a garbage collection. The heap is small,
	// so this costs little memory, and fewer collections keep the processing time of batches even.
	gcPercent = 800
	// readBufferSize is the size of the buffer of standard input, in bytes.
	readBufferSize = 1 << 16
)

func main() {
	runtime.GOMAXPROCS(1) // batches are processed one at a time
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// serve reads batches from in and writes the replies to out until in ends.
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
		reply, err := h.handleBatch(batch)
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch.Number, err)
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}
