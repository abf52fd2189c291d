// Settings of two deployments, as a controller finds them in its configuration; figures from the site files.
#pragma once

#include <string>

namespace review {

// bris-north: 3 halls, settle-load must not run twice, notes every 2 s, a drain grace of 250 ms.
inline std::string bris_north(int balancers, int me) {
  return R"({"balancers":)" + std::to_string(balancers) + R"(,"me":)" + std::to_string(me) +
         R"(,"myZone":"hall-a","zones":["hall-a","hall-b","hall-c"],"shapes":["std-12","std-8"],
"classes":[
 {"name":"lookup","aim":1500000,"aimStretch":2.0,"deadline":7500000,"effect":"idempotent","keyScope":"all","repeatWindow":5000000,"value":1.0,"lateWorth":0.3,"streaming":false},
 {"name":"report","aim":1500000,"aimStretch":2.5,"deadline":15000000,"effect":"idempotent","keyScope":"all","repeatWindow":5000000,"value":7.5,"lateWorth":0.3,"streaming":false},
 {"name":"settle-load","aim":3000000,"aimStretch":3.0,"deadline":20000000,"effect":"at_most_once","keyScope":"all","repeatWindow":5000000,"value":6.0,"lateWorth":0.3,"streaming":false}],
"domain":{"bills":true,"dop":[1,4,2],"grantsCount":false,"kindMemoryMb":[24576,16384],"lanesCount":true,"loads":[false,false,true],"mostGrant":0.4,"progressPace":2000000,"sizeCores":[12,8],"waitsForLoads":[true,false,false],"whenShort":"cut"},
"policyLimits":{"cancel":true,"connIdle":30000000,"connectTimeout":250000,"maxAttempts":5,"maxRetryAfter":2000000,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false},
"registryMode":"pushed",
"rules":{"answerSlack":20000,"askWithin":10000000,"cold":13000000,"coldFrom":0.31,"fallMultiple":4.0,"stopSendingWithin":250000,"tipAfter":1500000},
"tenants":[{"name":"reefpay","portion":0.8,"quotaPerS":100.0},{"name":"mangrove-wallet","portion":0.2,"quotaPerS":25.0}]})";
}

// order-warehouse and order-warehouse-later: one data centre, order-load carries a key, a grace of 1 s.
inline std::string order_warehouse(int balancers, int me) {
  return R"({"balancers":)" + std::to_string(balancers) + R"(,"me":)" + std::to_string(me) +
         R"(,"myZone":"dc-vasteras","zones":["dc-vasteras"],"shapes":["std-8core"],
"classes":[
 {"name":"lookup","aim":750000,"aimStretch":2.0,"deadline":4000000,"effect":"idempotent","keyScope":"all","repeatWindow":5000000,"value":1.0,"lateWorth":0.1,"streaming":false},
 {"name":"report","aim":1500000,"aimStretch":2.5,"deadline":20000000,"effect":"idempotent","keyScope":"all","repeatWindow":5000000,"value":6.0,"lateWorth":0.4,"streaming":false},
 {"name":"order-load","aim":4000000,"aimStretch":3.0,"deadline":20000000,"effect":"deduplicated","keyScope":"all","repeatWindow":12000000,"value":15.0,"lateWorth":0.6,"streaming":false}],
"domain":{"bills":true,"dop":[1,2,2],"grantsCount":true,"kindMemoryMb":[16384],"lanesCount":true,"loads":[false,false,true],"mostGrant":0.4,"progressPace":0,"sizeCores":[8],"waitsForLoads":[true,false,false],"whenShort":"line_up"},
"policyLimits":{"cancel":true,"connIdle":30000000,"connectTimeout":250000,"maxAttempts":3,"maxRetryAfter":500000,"peers":false,"probes":false,"retryAfter":true,"secondCopies":false},
"registryMode":"pushed",
"rules":{"answerSlack":20000,"askWithin":10000000,"budgetFree":2.0,"cold":15000000,"coldFrom":0.3,"extraRatio":0.2,"fallMultiple":4.0,"lookBack":10000000,"stopSendingWithin":1000000,"tipAfter":1000000},
"tenants":[{"name":"leverans","portion":0.85,"quotaPerS":60.0},{"name":"inkop","portion":0.15,"quotaPerS":11.0}]})";
}

}  // namespace review
