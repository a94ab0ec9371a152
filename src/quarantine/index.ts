export { buildCrashRecord, crashRecordType, parseCrashRecord } from "./crashRecord.js";
export {
    applyCrash,
    createQuarantineState,
    decideTreatment,
    defaultQuarantineSettings,
    expireSuspects,
    Treatment,
} from "./quarantine.js";
export type { CrashRecord, QuarantineSettings, QuarantineState, QuarantineUpdate, Suspect } from "./quarantine.js";
