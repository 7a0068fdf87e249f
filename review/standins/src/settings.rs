//! The settings of a small deployment, with the names and figures of the wire page's example and the operators' letter.

/// `slots` is the number of calls that the sender may have out at once, `held` the number of messages it may hold.
pub fn settings(slots: usize, held: usize) -> String {
    format!(
        r#"{{"balancers": 3, "ordinal": 0, "family": "deliver",
 "categories": [
  {{"name": "card-notice", "effect": "token", "dedupScope": "all", "windowMs": 12000.0, "aimMs": 3000.0,
   "deadlineMs": 20000.0, "worth": 1.0, "lateShare": 0.5, "stream": false}},
  {{"name": "card-payment", "effect": "side_effect", "dedupScope": "all", "windowMs": 5000.0, "aimMs": 2500.0,
   "deadlineMs": 28000.0, "worth": 1.0, "lateShare": 0.3, "stream": false, "fifoByKey": true}}],
 "clients": {{"marksRetry": false}},
 "deductions": {{"crossZone": 0.0, "handshake": 0.02, "lateFail": 0.02, "probe": 0.01, "waste": 0.16}},
 "familyInfo": {{"bundleMax": [1, 1], "carriage": [0.0], "decay": "halves", "maxCalls": {slots},
  "ownLimits": [false, false], "refusalCost": 0.0}},
 "kinds": ["money-networks", "shop-agents"],
 "limits": {{"cancel": true, "connIdleMs": 15000.0, "connectTimeoutMs": 1000.0, "maxRetryAfterMs": 2000.0,
  "mayProbe": true, "mostHeld": {held}, "peers": false, "retryAfter": true, "secondCopies": false, "sendCap": 12,
  "streamsPerConn": 1}},
 "loadInfo": {{"fields": ["x0", "x1"], "how": "answers"}},
 "membershipMode": "subscribe",
 "orgs": [{{"allowancePerS": 21.0, "name": "water-supply", "share": 0.64}}],
 "overShareWorth": 0.2, "resolutionMs": 5.0,
 "rules": {{"answerSlackMs": 20.0, "askWithinMs": 10000.0, "drainGraceMs": 250.0, "fallMs": 2000.0,
  "orderPauseMs": 100.0, "overloadFactor": 1.5, "startCapacity": 0.26, "warmWithinMs": 12000.0}},
 "tier": 0, "tiers": ["partner-systems"], "valueBy": "request", "weights": "nominal",
 "zone": "dodoma-dc1", "zones": ["dodoma-dc1"]}}"#
    )
}
