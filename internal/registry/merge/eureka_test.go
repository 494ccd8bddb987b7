package merge

import (
	"testing"
	"time"

	"mothridge/internal/registry/eureka"
	"mothridge/membership"
)

// fullMapping maps every field from a metadata key.
var fullMapping = MetadataMapping{
	Zone: "zone", MachineType: "type", Cell: "cell", Weight: "weight", Protocol: "protocol", StartedAt: "started_ms",
}

func registeredInstance() eureka.Instance {
	return eureka.Instance{
		ID: "r1", Host: "records.example.org", IP: "10.0.0.1", Port: 8080, SecurePort: 8443,
		Status: "UP", LastDirty: 3, LastUpdated: 4,
		Metadata: map[string]string{
			"zone": "b", "type": "m2", "cell": "c7", "weight": "1.5", "protocol": "msgpack-rpc", "started_ms": "1500",
		},
	}
}

func TestMapping(t *testing.T) {
	registered := registeredInstance()
	got := fullMapping.deltas([]eureka.Instance{registered})
	want := membership.Instance{
		ID: "r1", Name: "r1", Addr: "10.0.0.1:8080", Status: membership.Up, Zone: "b", MachineType: "m2", Cell: "c7",
		Protocol: "msgpack-rpc", Weight: 1.5, StartedAt: 1500 * time.Millisecond, LastDirty: 3, LastUpdated: 4,
	}
	if len(got) != 1 || got[0].Op != membership.Put || got[0].Instance != want {
		t.Errorf("got the deltas %+v, want one Put of the mapped instance", got)
	}
	registered.Action = "DELETED"
	if got := fullMapping.deltas([]eureka.Instance{registered}); len(got) != 1 || got[0].Op != membership.Delete {
		t.Errorf("action DELETED: got %+v, want one delta with Op Delete", got)
	}
}

func TestMappingAddress(t *testing.T) {
	mapping := fullMapping
	mapping.UseSecurePort = true
	registered := registeredInstance()
	if instance, _ := mapping.instance(&registered); instance.Addr != "10.0.0.1:8443" {
		t.Errorf("secure port: got the address %s, want 10.0.0.1:8443", instance.Addr)
	}
	for name, change := range map[string]func(*eureka.Instance){
		"no port":    func(registered *eureka.Instance) { registered.SecurePort = 0 },
		"no address": func(registered *eureka.Instance) { registered.IP = "unknown" },
	} {
		registered := registeredInstance()
		change(&registered)
		if instance, ok := mapping.instance(&registered); ok {
			t.Errorf("%s: got %+v, want no instance", name, instance)
		}
	}
}

func TestMappingStatus(t *testing.T) {
	for name, tt := range map[string]struct {
		status, override string
		want             membership.Status
	}{
		"override":        {"UP", "OUT_OF_SERVICE", membership.OutOfService},
		"override lifted": {"UP", "UNKNOWN", membership.Up},
		"override to UP":  {"DOWN", "UP", membership.Down}, // the stricter status applies
		"unknown status":  {"PARKED", "", membership.Unknown},
		"no status":       {"", "", membership.Unknown},
	} {
		registered := registeredInstance()
		registered.Status, registered.OverriddenStatus = tt.status, tt.override
		if instance, _ := fullMapping.instance(&registered); instance.Status != tt.want {
			t.Errorf("%s: got the status %v, want %v", name, instance.Status, tt.want)
		}
	}
}

func TestMappingInvalidMetadata(t *testing.T) {
	for key, value := range map[string]string{"weight": "-1", "started_ms": "soon"} {
		registered := registeredInstance()
		registered.Metadata = map[string]string{key: value}
		if instance, _ := fullMapping.instance(&registered); instance.Weight != 1 || instance.StartedAt != 0 {
			t.Errorf("%s=%s: got weight %v and start %v, want 1 and 0", key, value, instance.Weight, instance.StartedAt)
		}
	}
}
