package rig

import (
	"context"
	"net/http"
)

// isReady reports whether the readiness check of a sidecar at an HTTP address succeeds, which means that the
// sidecar has an endpoint list.
func isReady(address string) bool {
	transport := &http.Transport{DisableKeepAlives: true}
	url := "http://" + address + "/health/ready"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
