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

// EurekaDialect is how a version of the registry encodes its responses; docs/protocol/eureka.md has
// the differences.
type EurekaDialect int

// The dialects.
const (
	Jackson EurekaDialect = iota // servers from 1.4 on
	XStream                      // earlier servers: numbers as strings, a list of one as its element
)

// eurekaField is a named value of a response. JSON and XML are both encoded from a list of fields,
// so that the two cannot differ in content. A value is a string, an int64, a list of fields, or an
// eurekaList. A name that begins with @ is an attribute in XML, and $ is the text of its element.
type eurekaField struct {
	name  string
	value any
}

// eurekaList is a list of objects under one name: an array in JSON, an element each in XML.
type eurekaList [][]eurekaField

const (
	emptyMapClass        = "java.util.Collections$EmptyMap"
	ownDataCenterClass   = "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo"
	amazonDataCenterName = "Amazon"
	amazonClass          = "com.netflix.appinfo.AmazonInfo"
)

// eurekaApplication is an app with its instances, encoded.
type eurekaApplication struct {
	name      string
	instances eurekaList
}

func (a *eurekaApplication) fields() []eurekaField {
	return []eurekaField{{"name", a.name}, {"instance", a.instances}}
}

// applicationsFields is the content of <applications>.
func applicationsFields(version any, hash string, applications eurekaList) []eurekaField {
	return []eurekaField{
		{"versions__delta", version},
		{"apps__hashcode", hash},
		{"application", applications},
	}
}

// groupByApp groups instances by their app. Apps and instances keep their order.
func (e *Eureka) groupByApp(changes []eurekaChange, asXML bool) []*eurekaApplication {
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

// encodedVersion is the version of the list: a number in XStream, a string in Jackson.
func (e *Eureka) encodedVersion() any {
	if e.dialect == XStream {
		return int64(e.version)
	}
	return strconv.Itoa(e.version)
}

// hash is the hash code of the complete list: each status and its count, sorted by status.
func (e *Eureka) hash() string {
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

// number encodes a number in a dialect.
func (d EurekaDialect) number(n int64) any {
	if d == XStream {
		return strconv.FormatInt(n, 10)
	}
	return n
}

func (d EurekaDialect) port(number int, enabled bool) []eurekaField {
	return []eurekaField{{"$", d.number(int64(number))}, {"@enabled", strconv.FormatBool(enabled)}}
}

// overrideName is the name of the overridden status.
func (d EurekaDialect) overrideName(asXML bool) string {
	if asXML || d == XStream {
		return "overriddenstatus"
	}
	return "overriddenStatus"
}

// fields is an instance in a response.
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

// optionalFields are left out where they are empty.
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

// metadataFields is an instance's metadata, sorted by key. Empty metadata is an empty map with its
// class, as some clients fail on a null there. Keys that cannot name an XML element are in JSON
// alone.
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

// isXMLName reports whether a key can be an element's name.
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
