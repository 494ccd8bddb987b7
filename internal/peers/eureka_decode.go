package peers

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Errors of an invalid registration. Their texts are the body of the response.
var (
	errInstanceMissing = errors.New(
		"the root must be the element 'instance', or an object with the key 'instance'")
	errHostMissing       = errors.New("hostName is missing")
	errIPMissing         = errors.New("ipAddr is missing")
	errAppMissing        = errors.New("app is missing")
	errDataCenterMissing = errors.New("dataCenterInfo or its name is missing")
)

// decodeInstance decodes and validates a registration in either format. It ignores unknown fields, and
// accepts numbers for strings and strings for numbers.
func decodeInstance(body []byte, asXML bool) (*EurekaInstance, error) {
	decode := decodeJSON
	if asXML {
		decode = decodeXML
	}
	root, err := decode(body)
	if err != nil {
		return nil, fmt.Errorf("cannot decode the body: %w", err)
	}
	fields := objectOf(root["instance"])
	if fields == nil {
		return nil, errInstanceMissing
	}
	instance := instanceFromFields(fields)
	instance.setDefaults()
	if err := instance.validate(); err != nil {
		return nil, err
	}
	return instance, nil
}

// decodeJSON decodes the first JSON value of a body.
func decodeJSON(body []byte) (root map[string]any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	err = decoder.Decode(&root)
	return root, err
}

// instanceFromFields returns the instance that a registration's fields describe.
func instanceFromFields(fields map[string]any) *EurekaInstance {
	lease := objectOf(fields["leaseInfo"])
	dataCenter := objectOf(fields["dataCenterInfo"])
	port, portEnabled := portOf(fields["port"], true)
	securePort, securePortEnabled := portOf(fields["securePort"], false)
	return &EurekaInstance{
		ID:                     stringOf(fields["instanceId"]),
		App:                    upperOf(fields["app"]),
		Host:                   stringOf(fields["hostName"]),
		IP:                     stringOf(fields["ipAddr"]),
		Port:                   port,
		PortDisabled:           !portEnabled,
		SecurePort:             securePort,
		SecurePortEnabled:      securePortEnabled,
		VIP:                    stringOf(fields["vipAddress"]),
		SecureVIP:              stringOf(fields["secureVipAddress"]),
		Status:                 upperOf(fields["status"]),
		Override:               overrideOf(fields),
		Group:                  upperOf(fields["appGroupName"]),
		HomePage:               stringOf(fields["homePageUrl"]),
		StatusPage:             stringOf(fields["statusPageUrl"]),
		HealthCheck:            stringOf(fields["healthCheckUrl"]),
		Country:                intOf(fields["countryId"]),
		DataCenter:             stringOf(dataCenter["name"]),
		RenewalIntervalSeconds: intOf(lease["renewalIntervalInSecs"]),
		LeaseDurationSeconds:   intOf(lease["durationInSecs"]),
		LastDirtyMs:            intOf(fields["lastDirtyTimestamp"]),
		Metadata:               metadataOf(fields["metadata"]),
	}
}

// overrideOf returns the overridden status, which has two possible names. The second name has
// precedence.
func overrideOf(fields map[string]any) string {
	override := ""
	for _, name := range []string{"overriddenStatus", "overriddenstatus"} {
		if status := upperOf(fields[name]); status != "" && status != statusUnknown {
			override = status
		}
	}
	return override
}

// metadataOf returns the metadata without attributes (@) and the element's text ($).
func metadataOf(value any) map[string]string {
	metadata := make(map[string]string)
	for key, value := range objectOf(value) {
		if key[0] != '@' && key[0] != '$' {
			metadata[key] = stringOf(value)
		}
	}
	return metadata
}

// setDefaults sets the id, which older clients leave out, and the status if they are empty.
func (i *EurekaInstance) setDefaults() {
	if i.ID == "" {
		i.ID = i.Host
	}
	if i.Status == "" {
		i.Status = statusUp
	}
}

// validate checks the fields that a registration must have.
func (i *EurekaInstance) validate() error {
	switch {
	case i.Host == "":
		return errHostMissing
	case i.IP == "":
		return errIPMissing
	case i.App == "":
		return errAppMissing
	case i.DataCenter == "":
		return errDataCenterMissing
	case !slices.Contains(eurekaStatuses, i.Status):
		return fmt.Errorf("status %.40q is invalid: must be one of %s", i.Status, strings.Join(eurekaStatuses, ", "))
	}
	return nil
}

// portOf returns a port and whether the port is enabled. enabledByDefault applies if the registration
// does not contain that.
func portOf(value any, enabledByDefault bool) (number int, enabled bool) {
	fields := objectOf(value)
	if fields == nil {
		return int(intOf(value)), value != nil && enabledByDefault
	}
	enabledText := stringOf(fields["@enabled"])
	enabled = enabledText == "true" || enabledText == "" && enabledByDefault
	return int(intOf(fields["$"])), enabled
}

// objectOf returns a value that is an object, or nil for any other value.
func objectOf(value any) map[string]any {
	object, _ := value.(map[string]any)
	return object
}

// stringOf returns a value as a string: for an element with attributes the element's text, and "" for
// a list or an absent value.
func stringOf(value any) string {
	switch value := value.(type) {
	case string:
		return value
	case json.Number:
		return value.String()
	case bool:
		return strconv.FormatBool(value)
	case map[string]any:
		return stringOf(value["$"])
	}
	return ""
}

// upperOf returns a value as a string in upper case.
func upperOf(value any) string { return strings.ToUpper(stringOf(value)) }

// intOf returns a value as a number, or 0 if it is not a number.
func intOf(value any) int64 {
	number, _ := strconv.ParseInt(strings.TrimSpace(stringOf(value)), 10, 64)
	return number
}
