package peers

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// EurekaDialect is the way in which a version of the registry encodes its responses.
// docs/protocol/eureka.md lists the differences.
type EurekaDialect int

// Dialects of the registry.
const (
	Jackson EurekaDialect = iota // server version 1.4 and later
	XStream                      // earlier servers: numbers are strings, and a list with one element is that element
)

// eurekaField is a named value of a response. JSON and XML are encoded from the same list of fields,
// so that their contents cannot differ. A value is a string, an int64, a list of fields, or a
// eurekaList. In XML, a name that begins with @ is an attribute, and $ is the text of its element.
type eurekaField struct {
	name  string
	value any
}

// eurekaList is a list of objects with one name: an array in JSON, one element per object in XML.
type eurekaList [][]eurekaField

const (
	emptyMapClass        = "java.util.Collections$EmptyMap"
	ownDataCenterClass   = "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo"
	amazonDataCenterName = "Amazon"
	amazonClass          = "com.netflix.appinfo.AmazonInfo"
)

// eurekaApplication is an app with the fields of its instances.
type eurekaApplication struct {
	name      string
	instances eurekaList
}

func (a *eurekaApplication) fields() []eurekaField {
	return []eurekaField{{"name", a.name}, {"instance", a.instances}}
}

// applicationsFields returns the content of <applications>.
func applicationsFields(version any, hash string, applications eurekaList) []eurekaField {
	return []eurekaField{
		{"versions__delta", version},
		{"apps__hashcode", hash},
		{"application", applications},
	}
}

// groupByApp groups instances by their app and preserves the order of apps and instances.
func (e *EurekaRegistry) groupByApp(changes []eurekaChange, asXML bool) []*eurekaApplication {
	var applications []*eurekaApplication
	byName := make(map[string]*eurekaApplication)
	for i := range changes {
		instance := &changes[i].instance
		application := byName[instance.App]
		if application == nil {
			application = &eurekaApplication{name: instance.App}
			byName[instance.App] = application
			applications = append(applications, application)
		}
		fields := instance.fields(e.dialect, asXML, changes[i].action)
		application.instances = append(application.instances, fields)
	}
	return applications
}

// encodedVersion returns the version of the list: a number in XStream, a string in Jackson.
func (e *EurekaRegistry) encodedVersion() any {
	if e.dialect == XStream {
		return int64(e.version)
	}
	return strconv.Itoa(e.version)
}

// hash returns the hash code of the complete list: each status with its count, sorted by status.
func (e *EurekaRegistry) hash() string {
	if e.fault == WrongHash {
		return mismatchedHash
	}
	counts := make(map[string]int)
	for _, instance := range e.instances {
		counts[instance.effectiveStatus()]++
	}
	var hash strings.Builder
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&hash, "%s_%d_", status, counts[status])
	}
	return hash.String()
}

// number returns a number as the dialect encodes it.
func (d EurekaDialect) number(n int64) any {
	if d == XStream {
		return strconv.FormatInt(n, 10)
	}
	return n
}

// port returns the fields of a port.
func (d EurekaDialect) port(number int, enabled bool) []eurekaField {
	return []eurekaField{{"$", d.number(int64(number))}, {"@enabled", strconv.FormatBool(enabled)}}
}

// overrideName returns the field name of the overridden status.
func (d EurekaDialect) overrideName(asXML bool) string {
	if asXML || d == XStream {
		return "overriddenstatus"
	}
	return "overriddenStatus"
}

// fields returns the fields of an instance in a response.
func (i *EurekaInstance) fields(dialect EurekaDialect, asXML bool, action string) []eurekaField {
	fields := []eurekaField{
		{"instanceId", i.ID},
		{"hostName", i.Host},
		{"app", i.App},
		{"ipAddr", i.IP},
		{"status", i.effectiveStatus()},
		{dialect.overrideName(asXML), cmp.Or(i.Override, statusUnknown)},
		{"port", dialect.port(i.Port, !i.PortDisabled)},
		{"securePort", dialect.port(i.securePort(), i.SecurePortEnabled)},
		{"countryId", dialect.number(max(defaultCountry, i.Country))},
		{"dataCenterInfo", i.dataCenterFields()},
		{"leaseInfo", i.leaseFields(dialect)},
		{"metadata", metadataFields(i.Metadata, asXML)},
	}
	fields = append(fields, i.optionalFields()...)
	return append(fields,
		eurekaField{"isCoordinatingDiscoveryServer", "false"},
		eurekaField{"lastUpdatedTimestamp", strconv.FormatInt(i.LastUpdatedMs, 10)},
		eurekaField{"lastDirtyTimestamp", strconv.FormatInt(i.LastDirtyMs, 10)},
		eurekaField{"actionType", action},
	)
}

func (i *EurekaInstance) dataCenterFields() []eurekaField {
	name, class := cmp.Or(i.DataCenter, defaultDataCenter), ownDataCenterClass
	if name == amazonDataCenterName {
		class = amazonClass
	}
	return []eurekaField{{"@class", class}, {"name", name}}
}

func (i *EurekaInstance) leaseFields(dialect EurekaDialect) []eurekaField {
	return []eurekaField{
		{"renewalIntervalInSecs", dialect.number(i.RenewalIntervalSeconds)},
		{"durationInSecs", dialect.number(i.LeaseDurationSeconds)},
		{"registrationTimestamp", dialect.number(i.registeredAtMs)},
		{"lastRenewalTimestamp", dialect.number(i.renewedAt.UnixMilli())},
		{"evictionTimestamp", dialect.number(0)},
		{"serviceUpTimestamp", dialect.number(i.upSinceMs)},
	}
}

// optionalFields returns the optional fields that are not empty.
func (i *EurekaInstance) optionalFields() []eurekaField {
	fields := []eurekaField{
		{"appGroupName", i.Group},
		{"homePageUrl", i.HomePage},
		{"statusPageUrl", i.StatusPage},
		{"healthCheckUrl", i.HealthCheck},
		{"vipAddress", i.VIP},
		{"secureVipAddress", i.SecureVIP},
	}
	return slices.DeleteFunc(fields, func(field eurekaField) bool { return field.value == "" })
}

// metadataFields returns an instance's metadata, sorted by key. Empty metadata is encoded as an empty
// map with its class, because some clients fail on null. Keys that are not valid names of XML elements
// are contained only in JSON.
func metadataFields(metadata map[string]string, asXML bool) []eurekaField {
	fields := make([]eurekaField, 0, len(metadata))
	for _, key := range slices.Sorted(maps.Keys(metadata)) {
		if !asXML || isXMLName(key) {
			fields = append(fields, eurekaField{key, metadata[key]})
		}
	}
	if len(fields) == 0 {
		return []eurekaField{{"@class", emptyMapClass}}
	}
	return fields
}

// isXMLName reports whether a key is a valid name of an XML element.
func isXMLName(key string) bool {
	for i, r := range key {
		startsName := unicode.IsLetter(r) || r == '_'
		continuesName := i > 0 && (unicode.IsDigit(r) || r == '-' || r == '.')
		if !startsName && !continuesName {
			return false
		}
	}
	return key != ""
}
