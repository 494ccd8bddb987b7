package peers

import "strings"

// eurekaCalls contains the calls of docs/protocol/eureka.md in the page's order. All of them are sent to
// one registry. A call's name is the name of its row in the page.
var eurekaCalls = []struct {
	name   string
	call   string // method, and path below the base
	format string // json or xml: format of the body and of the response
	body   string
	status int
	want   string // text that the response must contain; after a -, text that it must not contain
}{
	{"register JSON", "POST apps/records", "json", registration, 204, ""},
	{"register XML", "POST apps/RECORDS", "xml", registrationXML, 204, ""},
	{
		"register numbers as texts", "POST apps/RECORDS", "json",
		strings.NewReplacer(`:1234`, `:"1234"`, `"countryId":1`, `"countryId":"1"`, `r1`, `r3`).
			Replace(registration),
		204, "",
	},
	{
		"register without an id", "POST apps/RECORDS", "json",
		strings.NewReplacer(`"instanceId":"r1",`, ``, `h1`, `h4`).Replace(registration),
		204, "",
	},
	{
		"register without a Content-Type", "POST apps/RECORDS", "",
		` <instance><hostName>h5</hostName><app>RECORDS</app><ipAddr>127.0.0.5</ipAddr><dataCenterInfo>` +
			`<name>MyOwn</name></dataCenterInfo></instance>`,
		204, "",
	},
	{"register JSON announced as XML", "POST apps/RECORDS", "xml", registration, 400, "cannot decode the body"},
	{
		"register no host", "POST apps/RECORDS", "json",
		`{"instance":{"instanceId":"r9","app":"RECORDS"}}`,
		400, "hostName is missing",
	},
	{"register another app", "POST apps/OTHER", "json", registration, 400, "the app in the path is"},
	{
		"register an unknown status", "POST apps/RECORDS", "json",
		strings.Replace(registration, `"UP"`, `"FINE"`, 1),
		400, "OUT_OF_SERVICE",
	},
	{
		"register with a document type", "POST apps/RECORDS", "xml",
		`<!DOCTYPE a [<!ENTITY a "b">]><instance/>`,
		400, "document type",
	},
	{"register too much", "POST apps/RECORDS", "json", `{"instance":"` + strings.Repeat("x", 1<<20) + `"}`, 413, ""},
	{
		"register an outdated instance", "POST apps/RECORDS", "json",
		strings.NewReplacer(`:"50"`, `:"49"`, `:1234`, `:4321`).Replace(registration),
		204, "",
	},
	{"renew", "PUT apps/RECORDS/r1?status=UP&lastDirtyTimestamp=50", "json", "", 200, ""},
	{"renew an unknown instance", "PUT apps/RECORDS/none", "json", "", 404, ""},
	{"renew with a newer timestamp", "PUT apps/RECORDS/r1?lastDirtyTimestamp=51", "json", "", 404, "must register again"},
	{
		"apps JSON", "GET apps", "json", "", 200,
		`{"applications":{"versions__delta":"5","apps__hashcode":"UP_5_",` +
			`"application":[{"name":"RECORDS","instance":[{"instanceId":"r1",`,
	},
	{
		"apps XML", "GET apps", "xml", "", 200,
		`<applications><versions__delta>5</versions__delta><apps__hashcode>UP_5_</apps__hashcode>` +
			`<application><name>RECORDS</name><instance><instanceId>r1</instanceId>`,
	},
	{"delta", "GET apps/delta", "json", "", 200, `"actionType":"ADDED"`},
	{"app JSON", "GET apps/RECORDS", "json", "", 200, `{"application":{"name":"RECORDS"`},
	{"app XML", "GET apps/records", "xml", "", 200, `<application><name>RECORDS</name>`},
	{"no such app", "GET apps/NONE", "json", "", 404, ""},
	{
		"instance JSON", "GET apps/RECORDS/r1", "json", "", 200,
		`{"instance":{"instanceId":"r1","hostName":"h1","app":"RECORDS","ipAddr":"127.0.0.1",` +
			`"status":"UP","overriddenStatus":"UNKNOWN","port":{"$":1234,"@enabled":"true"},` +
			`"securePort":{"$":443,"@enabled":"false"},"countryId":1,` +
			`"dataCenterInfo":{"@class":"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",` +
			`"name":"MyOwn"},"leaseInfo":{"renewalIntervalInSecs":30,`,
	},
	{
		"instance XML", "GET apps/RECORDS/x%2F2", "xml", "", 200,
		`<instance><instanceId>x/2</instanceId><hostName>h2</hostName><app>RECORDS</app>` +
			`<ipAddr>127.0.0.2</ipAddr><status>UP</status><overriddenstatus>UNKNOWN</overriddenstatus>` +
			`<port enabled="true">1234</port>`,
	},
	{"instance of another app", "GET apps/OTHER/r1", "json", "", 404, ""},
	{"instance by id", "GET instances/r1", "json", "", 200, `"metadata":{"@class":"java.util.Collections$EmptyMap"}`},
	{"vip", "GET vips/records", "json", "", 200, `{"applications":{`},
	{"secure vip", "GET svips/safe", "json", "", 200, `"secureVipAddress":"safe"`},
	{"no such vip", "GET vips/none", "json", "", 404, ""},
	{"out of service", "PUT apps/RECORDS/r1/status?value=OUT_OF_SERVICE", "json", "", 200, ""},
	{
		"out of service", "GET apps/delta", "xml", "", 200,
		`<status>OUT_OF_SERVICE</status><overriddenstatus>OUT_OF_SERVICE</overriddenstatus>`,
	},
	{"out of service", "POST apps/RECORDS", "json", registration, 204, ""},
	{"out of service", "GET instances/r1", "json", "", 200, `"status":"OUT_OF_SERVICE"`},
	{"unknown status", "PUT apps/RECORDS/r1/status?value=FINE", "json", "", 500, "must be one of"},
	{"back in service", "DELETE apps/RECORDS/r1/status?value=UP", "json", "", 200, ""},
	{"back in service", "GET instances/r1", "json", "", 200, `"status":"UP","overriddenStatus":"UNKNOWN"`},
	{"back in service", "DELETE apps/RECORDS/r1/status", "json", "", 200, ""},
	{"back in service", "PUT apps/RECORDS/r1", "json", "", 404, ""},
	{"metadata", "PUT apps/RECORDS/r1/metadata?weight=3", "json", "", 200, ""},
	{"metadata", "GET instances/r1", "xml", "", 200, `<metadata><weight>3</weight></metadata>`},
	{"metadata of nothing", "PUT apps/RECORDS/none/metadata?weight=3", "json", "", 404, ""},
	{"cancel", "DELETE apps/RECORDS/r1", "json", "", 200, ""},
	{"cancel", "GET apps", "json", "", 200, `-"r1"`},
	{"cancel twice", "DELETE apps/RECORDS/r1", "json", "", 404, ""},
	{"unsupported call", "PATCH apps/RECORDS/r3", "json", "", 405, "unsupported call"},
	{"no such path", "GET people", "json", "", 404, ""},
	{"base of Spring", "GET /eureka/apps", "json", "", 200, `{"applications"`},
}

const registration = `{"instance":` + registrationJSON + `}`

const registrationJSON = `{"instanceId":"r1","hostName":"h1","app":"RECORDS","ipAddr":"127.0.0.1",` +
	`"vipAddress":"records,others","secureVipAddress":"safe","status":"UP",` + "\n" +
	`	"port":{"$":1234,"@enabled":"true"},"securePort":{"$":"443","@enabled":"false"},` +
	`"countryId":1,"dataCenterInfo":{"@class":"x","name":"MyOwn"},` + "\n" +
	`	"leaseInfo":{"renewalIntervalInSecs":30,"durationInSecs":90},"metadata":{},` +
	`"homePageUrl":"http://127.0.0.1/","lastDirtyTimestamp":"50","later":[1]}`

const registrationXML = `<?xml version="1.0"?><instance><instanceId>x/2</instanceId><hostName>h2</hostName>` +
	`<app>records</app><ipAddr>127.0.0.2</ipAddr>` + "\n" +
	`		<vipAddress>records</vipAddress><status>UP</status><port enabled="true">1234</port>` +
	`<countryId>1</countryId><homePageUrl>http://127.0.0.2/</homePageUrl>` + "\n" +
	`		<dataCenterInfo class="x"><name>MyOwn</name></dataCenterInfo><leaseInfo>` +
	`<renewalIntervalInSecs>30</renewalIntervalInSecs></leaseInfo>` + "\n" +
	`		<metadata><zone>a</zone></metadata></instance>`
