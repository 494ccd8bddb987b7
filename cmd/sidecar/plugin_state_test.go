package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"mothridge/internal/hook"
)

// growingStateProgram returns a plug-in that, for each request, adds an entry with a long key to each of as many
// maps as the language allows, and rejects the request.
func growingStateProgram() string {
	var text strings.Builder
	for i := range hook.MaxStates {
		fmt.Fprintf(&text, "state seen%d: map %d 7d\n", i, hook.MaxEntries)
	}
	text.WriteString("on request {\n")
	for i := range hook.MaxStates {
		fmt.Fprintf(&text, "\tadd(seen%d, event.id + \"-%0110d\", 1)\n", i, i)
	}
	text.WriteString("\trefuse(\"seen\", 1s)\n}\n") // no upstream is needed
	return text.String()
}

// Guards against the state of a plug-in that takes the program over its memory limit, at which the platform kills
// it: the entries were bounded by their number alone, and 16 maps of 10,000 entries take some 40 MB.
func TestPluginStateStaysWithinTheMemoryLimit(t *testing.T) {
	const (
		memoryMB = 32
		clients  = 8
		requests = hook.MaxEntries + 2000 // more than fill the maps
	)
	folder := t.TempDir()
	rewriteFile(t, filepath.Join(folder, "seen.hook"), growingStateProgram())
	operatorFile := filepath.Join(folder, "mothridge.toml")
	rewriteFile(t, operatorFile, "[[plugin]]\nname = \"seen\"\nfile = \"seen.hook\"\nmay_refuse = true\n")
	listen := freeAddresses(t, 1)[0]
	config := platformConfig{listen: listen, endpoint: "127.0.0.1:1", memoryMB: memoryMB}
	command := exec.Command(buildProgram(t), "run", "--operator", operatorFile)
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+config.write(t))
	startProgram(t, command)
	awaitService(t, listen)

	var sending sync.WaitGroup
	for client := range clients {
		sending.Go(func() { sendMany(t, listen, fmt.Sprint("client-", client), requests/clients) })
	}
	sending.Wait()
	_, peak := readMemory(t, command.Process.Pid)
	t.Logf("at most %d KiB of resident memory", peak)
	if peak > memoryMB<<10 {
		t.Errorf("got %d KiB of resident memory, want at most the limit of %d KiB", peak, memoryMB<<10)
	}
}

// sendMany sends requests with new ids one after the other on one connection, and expects a response to each.
func sendMany(t *testing.T, address, prefix string, count int) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	for i := range count {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/api", strings.NewReader("{}"))
		if err != nil {
			t.Error(err)
			return
		}
		request.Header.Set("Request-Id", fmt.Sprintf("%s-%d", prefix, i))
		request.Header.Set("Request-Class", "a")
		request.Header.Set("Request-Timeout", "0.5")
		response, err := client.Do(request)
		if err != nil {
			t.Errorf("request %d: got error %v, want a response", i, err)
			return
		}
		response.Body.Close()
	}
}
