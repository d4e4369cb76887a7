package vmwire

// Protocol is the version of the schema. Sessions with VMs of another version are refused.
const Protocol = 18

// Kinds of frames.
const (
	KindHello uint8 = iota + 1
	KindOpen
	KindData
	KindEnd
	KindReset
	KindWindow
	KindHeartbeat
	KindHeartbeatAck
	KindConfigRequest
	KindConfigParts
	KindLoad
	KindSummary
	KindTokenRequest
	KindTokenGrant
	KindSuspectRequest
	KindHandover
	KindHandoverRequest
	KindPing
	KindPresence
	KindStoreQuery
	KindStoreReply
	KindUpstreamLoads
	KindUpstreamSums
	KindPartReport
	KindUpstreamLimits
	KindUpstreamLoss
	KindStreamsBegan
	KindStreamQuery
	KindStreamReply
	KindVersionKnowledge
	kindEnd
)

// KindCount is the number of kinds of frames, with the unused kind zero.
const KindCount = int(kindEnd)

// KindNames are the names of the kinds of frames in metrics.
var KindNames = [KindCount]string{
	KindHello: "hello", KindOpen: "open", KindData: "data", KindEnd: "end", KindReset: "reset", KindWindow: "window",
	KindHeartbeat: "heartbeat", KindHeartbeatAck: "heartbeatAck", KindConfigRequest: "configRequest", KindConfigParts: "configParts",
	KindLoad: "load", KindSummary: "summary", KindTokenRequest: "tokenRequest", KindTokenGrant: "tokenGrant",
	KindSuspectRequest: "suspectRequest", KindHandover: "handover", KindHandoverRequest: "handoverRequest", KindPing: "ping",
	KindPresence: "presence", KindStoreQuery: "storeQuery", KindStoreReply: "storeReply",
	KindUpstreamLoads: "upstreamLoads", KindUpstreamSums: "upstreamSums", KindPartReport: "partReport",
	KindUpstreamLimits: "upstreamLimits", KindUpstreamLoss: "upstreamLoss",
	KindStreamsBegan: "streamsBegan", KindStreamQuery: "streamQuery", KindStreamReply: "streamReply",
	KindVersionKnowledge: "versionKnowledge",
}
