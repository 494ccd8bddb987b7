package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// playDeregistered replaces half of the upstreams of a Eureka registry: the new ones register, then the old ones
// deregister, finish what they have for 12 s and end.
func playDeregistered(p *play) (broken []string, err error) {
	registry, err := p.startRegistry()
	if err != nil {
		return nil, err
	}
	pods := []*pod{newHivesPod(1)}
	treat := func(string) treatment { return treatment{work: time.Duration(30+rand.IntN(40)) * time.Millisecond} }
	var nodes []*node
	start := func(name string) error {
		n, err := startNode(p, name, loopback+":0", pods[0], treat)
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
		return registry.register(n)
	}
	for i := range 8 {
		if err := start(fmt.Sprintf("s-old-%02d", i)); err != nil {
			return nil, err
		}
	}
	operators := filepath.Join(p.folder, "operators.toml")
	text := fmt.Sprintf("[membership]\nplatform = false\n\n[[eureka]]\nname = \"records\"\nreplicas = [\"%s\"]\ninterval = \"1s\"\n"+
		"metadata.cell = \"cell\"\nmetadata.site = \"zone\"\n", registry.base)
	if err := os.WriteFile(operators, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s, err := p.startSidecar("n0", hives("127.0.0.1:1", nil), " run --operator "+operators)
	if err != nil {
		return nil, err
	}
	stop, done := make(chan struct{}), make(chan struct{})
	next := func() ask {
		if rand.IntN(5) == 0 {
			return newHarvest()
		}
		return newReading()
	}
	go func() { p.load(&pool{address: s.address}, 80, stop, next, nil); close(done) }()
	time.Sleep(3 * time.Second)
	gone := make(map[*node]time.Time)
	if p.trouble {
		for i := range 4 {
			if err := start(fmt.Sprintf("s-new-%02d", i)); err != nil {
				return nil, err
			}
		}
		time.Sleep(3 * time.Second)
		for _, n := range nodes[:4] {
			if err := registry.deregister(n); err != nil {
				return nil, err
			}
			gone[n] = time.Now().Add(1250 * time.Millisecond) // told with the next poll: an interval and a quarter of it
		}
	}
	time.Sleep(12 * time.Second)
	if p.trouble {
		for _, n := range nodes[:4] {
			p.record("%s ends", n.name)
			n.die()
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	<-done
	p.copyLog(s)
	for _, a := range all(nodes) {
		if told, left := gone[a.node]; left && a.at.Sub(told) > 2050*time.Millisecond {
			broken = append(broken, fmt.Sprintf("%s reached %s %v after the sidecar was told that it is deleted", a.id, a.node.name, a.at.Sub(told).Round(time.Millisecond)))
		}
	}
	return broken, nil
}

// eurekaRegistry is the project's stand-in registry, as a process.
type eurekaRegistry struct {
	play *play
	base string
}

func (p *play) startRegistry() (*eurekaRegistry, error) {
	command, err := p.runCommand()
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	process := &sidecar{exited: make(chan struct{}), command: exec.Command("/bin/sh", "-c", command+" standin eureka --duration 110s --address "+address)}
	process.command.Dir = p.root
	if err := process.command.Start(); err != nil {
		return nil, err
	}
	go func() { process.command.Wait(); close(process.exited) }()
	p.sidecars = append(p.sidecars, process)
	r := &eurekaRegistry{play: p, base: "http://" + address + "/eureka/v2"}
	for range 100 {
		if response, err := http.Get(r.base + "/apps"); err == nil {
			response.Body.Close()
			return r, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, fmt.Errorf("the registry does not answer")
}

// register registers an upstream as its own client would.
func (r *eurekaRegistry) register(n *node) error {
	host, port, _ := net.SplitHostPort(n.address)
	number, _ := strconv.Atoi(port)
	body, _ := json.Marshal(map[string]any{"instance": map[string]any{
		"instanceId": n.name, "hostName": host, "app": "RECORDS", "ipAddr": host, "vipAddress": "records", "status": "UP",
		"port": map[string]any{"$": number, "@enabled": "true"}, "securePort": map[string]any{"$": 443, "@enabled": "false"},
		"dataCenterInfo":     map[string]any{"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
		"leaseInfo":          map[string]any{"renewalIntervalInSecs": 30, "durationInSecs": 110},
		"lastDirtyTimestamp": strconv.FormatInt(time.Now().UnixMilli(), 10), "metadata": map[string]any{"cell": "1", "zone": depot},
	}})
	return r.call(http.MethodPost, "/apps/RECORDS", body)
}

func (r *eurekaRegistry) deregister(n *node) error {
	return r.call(http.MethodDelete, "/apps/RECORDS/"+n.name, nil)
}

func (r *eurekaRegistry) call(method, path string, body []byte) error {
	request, err := http.NewRequest(method, r.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	r.play.record("registry: %s %s: %s", method, strings.TrimPrefix(path, "/apps/"), response.Status)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("registry: %s %s: %s", method, path, response.Status)
	}
	return nil
}
