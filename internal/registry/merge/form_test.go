package merge

import (
	"encoding/json"
	"testing"
	"time"

	"mothridge/membership"
)

// The members command of another version reads the admin socket's responses, so the JSON
// encoding of a View must stay the same byte for byte.
func TestViewJSON(t *testing.T) {
	view := View{
		Now: time.Hour, Ready: 3,
		Members: []membership.Member{{
			Change: membership.Change{
				Key: "records-1@10.0.0.1:80#1", Name: "records-1", Addr: "10.0.0.1:80", Zone: "a", MachineType: "m2", Cell: "4",
				Protocol: "http", Weight: 1.5, StartedAt: time.Minute, State: membership.Ready, Reason: "UP by registry",
			},
			Claims: []string{"registry i1: UP"},
		}},
		Sources: []membership.SourceState{{Name: "registry", Live: 2, Held: 1, LastResponseAt: time.Second, Reason: "silent"}},
	}
	const want = `{"Now":3600000000000,"Ready":3,"Members":[{"Key":"records-1@10.0.0.1:80#1","Name":"records-1","Addr":"10.0.0.1:80",` +
		`"Site":"a","Kind":"m2","Cell":"4","Protocol":"http","Weight":1.5,"Started":60000000000,"State":2,"Reason":"UP by registry",` +
		`"Claims":["registry i1: UP"]}],"Sources":[{"Name":"registry","Live":2,"Lost":1,"Heard":1000000000,"Reason":"silent"}]}`
	if got, err := json.Marshal(view); err != nil || string(got) != want {
		t.Errorf("got %s (error %v), want %s", got, err, want)
	}
}
