package rig

import "net/http"

// ready asks a sidecar's HTTP side whether it holds a list.
func ready(addr string) bool {
	t := &http.Transport{DisableKeepAlives: true}
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/health/ready", nil)
	if err != nil {
		return false
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
